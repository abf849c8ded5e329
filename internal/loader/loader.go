package loader

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"gopkg.in/ini.v1"
)

// parse fills the flags of set from args, the environment and the INI file that
// the flag -config names. It returns the faults of single keys, and an error
// where reading had to end. The program's name, in capitals, is the prefix of
// its environment variables.
func parse(set *flag.FlagSet, args []string) (faults []error, err error) {
	known, faults := knownFlags(set, args)
	faults = append(faults, unknownVariables(set)...)
	err = ff.Parse(set, known,
		ff.WithEnvVarPrefix(strings.ToUpper(set.Name())),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(iniParser(set, &faults)),
	)
	if set.NArg() > 0 {
		faults = append(faults, fmt.Errorf("unexpected argument %q; settings are given as -key value", set.Arg(0)))
	}
	return faults, err
}

// knownFlags leaves out flags that don't exist, each with its value, so that
// one of them doesn't hide the faults after it.
func knownFlags(set *flag.FlagSet, args []string) (known []string, faults []error) {
	for i := 0; i < len(args); i++ {
		name, _, joined := strings.Cut(strings.TrimLeft(args[i], "-"), "=")
		valueFollows := !joined && i+1 < len(args)
		switch {
		case !strings.HasPrefix(args[i], "-") || name == "help" || name == "h":
			known = append(known, args[i])
		case set.Lookup(name) == nil:
			faults = append(faults, fmt.Errorf("flag -%s: no such setting; allowed: %s", name, keys(set)))
			if valueFollows && !strings.HasPrefix(args[i+1], "-") {
				i++
			}
		case valueFollows:
			known = append(known, args[i], args[i+1])
			i++
		default:
			known = append(known, args[i])
		}
	}
	return known, faults
}

// unknownVariables returns a fault for each environment variable that has the
// program's prefix and names no setting.
func unknownVariables(set *flag.FlagSet) []error {
	allowed := make(map[string]bool)
	set.VisitAll(func(f *flag.Flag) { allowed[variable(set.Name(), f.Name)] = true })
	var faults []error
	for _, e := range os.Environ() {
		name, _, _ := strings.Cut(e, "=")
		if strings.HasPrefix(name, strings.ToUpper(set.Name())+"_") && !allowed[name] {
			faults = append(faults, fmt.Errorf("environment variable %s: no such setting; allowed: %s", name, keys(set)))
		}
	}
	return faults
}

// iniParser returns a parser that gathers the faults of single keys.
func iniParser(set *flag.FlagSet, faults *[]error) ff.ConfigFileParser {
	return func(r io.Reader, give func(name, value string) error) error {
		text, err := io.ReadAll(r)
		if err != nil {
			return fmt.Errorf("read the settings file: %w", err)
		}
		file, err := ini.LoadSources(ini.LoadOptions{
			IgnoreInlineComment: true, AllowShadows: true, AllowDuplicateShadowValues: true,
		}, text)
		if err != nil {
			return fmt.Errorf("parse the settings file: %w", err)
		}
		for _, s := range file.Sections() {
			for _, k := range s.Keys() {
				if err := giveKey(set, s.Name(), k, give); err != nil {
					*faults = append(*faults, fmt.Errorf("settings file, %s: %w", place(s, k), err))
				}
			}
		}
		return nil
	}
}

// place tells where a key stands in the file.
func place(s *ini.Section, k *ini.Key) string {
	if s.Name() == ini.DefaultSection {
		return fmt.Sprintf("key %q before the first section", k.Name())
	}
	return fmt.Sprintf("section [%s], key %q", s.Name(), k.Name())
}

func giveKey(set *flag.FlagSet, section string, k *ini.Key, give func(name, value string) error) error {
	name := k.Name()
	if section != ini.DefaultSection {
		name = section + "-" + name
	}
	if set.Lookup(name) == nil || name == "config" {
		return fmt.Errorf("no such setting; allowed: %s", keys(set))
	}
	if len(k.ValueWithShadows()) > 1 {
		return fmt.Errorf("it stands %d times; allowed: once", len(k.ValueWithShadows()))
	}
	return give(name, k.Value())
}

// keys lists the settings.
func keys(set *flag.FlagSet) string {
	var names []string
	set.VisitAll(func(f *flag.Flag) {
		if f.Name != "config" {
			names = append(names, f.Name)
		}
	})
	return strings.Join(names, ", ")
}
