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

// parse sets flags from args, the environment and the INI file that the flag
// -config names. It returns the errors of single settings in keyErrs, and in err
// the error that ended the parsing early. The prefix of the environment variables
// is the program's name in capitals.
func parse(flags *flag.FlagSet, args []string) (keyErrs []error, err error) {
	known, keyErrs := filterKnownFlags(flags, args)
	keyErrs = append(keyErrs, unknownVariables(flags)...)
	err = ff.Parse(flags, known,
		ff.WithEnvVarPrefix(strings.ToUpper(flags.Name())),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(iniParser(flags, &keyErrs)),
	)
	if flags.NArg() > 0 {
		keyErrs = append(keyErrs, fmt.Errorf("unexpected argument %q; settings are given as -key value", flags.Arg(0)))
	}
	return keyErrs, err
}

// filterKnownFlags returns args without the flags that don't exist and their
// values, and an error for each of those flags. The flag package stops at the
// first unknown flag, which would hide the errors after it.
func filterKnownFlags(flags *flag.FlagSet, args []string) (known []string, errs []error) {
	for i := 0; i < len(args); i++ {
		name, _, joined := strings.Cut(strings.TrimLeft(args[i], "-"), "=")
		valueFollows := !joined && i+1 < len(args)
		switch {
		case !strings.HasPrefix(args[i], "-") || name == "help" || name == "h":
			known = append(known, args[i])
		case flags.Lookup(name) == nil:
			errs = append(errs, fmt.Errorf("flag -%s: no such setting; allowed: %s", name, settingKeys(flags)))
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
	return known, errs
}

// unknownVariables returns an error for each environment variable that has the
// program's prefix and names no setting.
func unknownVariables(flags *flag.FlagSet) []error {
	allowed := make(map[string]bool)
	flags.VisitAll(func(f *flag.Flag) { allowed[environmentVariable(flags.Name(), f.Name)] = true })
	var errs []error
	for _, e := range os.Environ() {
		name, _, _ := strings.Cut(e, "=")
		if strings.HasPrefix(name, strings.ToUpper(flags.Name())+"_") && !allowed[name] {
			errs = append(errs, fmt.Errorf("environment variable %s: no such setting; allowed: %s", name, settingKeys(flags)))
		}
	}
	return errs
}

// iniParser returns a parser of INI files that appends the errors of single keys
// to keyErrs and goes on with the next key.
func iniParser(flags *flag.FlagSet, keyErrs *[]error) ff.ConfigFileParser {
	return func(r io.Reader, setFlag func(name, value string) error) error {
		text, err := io.ReadAll(r)
		if err != nil {
			return fmt.Errorf("read the settings file: %w", err)
		}
		// AllowShadows keeps all values of a repeated key, so that applyKey can refuse
		// the key.
		file, err := ini.LoadSources(ini.LoadOptions{
			IgnoreInlineComment: true, AllowShadows: true, AllowDuplicateShadowValues: true,
		}, text)
		if err != nil {
			return fmt.Errorf("parse the settings file: %w", err)
		}
		for _, s := range file.Sections() {
			for _, k := range s.Keys() {
				if err := applyKey(flags, s.Name(), k, setFlag); err != nil {
					*keyErrs = append(*keyErrs, fmt.Errorf("settings file, %s: %w", describeKey(s, k), err))
				}
			}
		}
		return nil
	}
}

// describeKey returns the section and the name of a key, for an error message.
func describeKey(s *ini.Section, k *ini.Key) string {
	if s.Name() == ini.DefaultSection {
		return fmt.Sprintf("key %q before the first section", k.Name())
	}
	return fmt.Sprintf("section [%s], key %q", s.Name(), k.Name())
}

// applyKey sets the flag of a key in the INI file. The flag -config itself can't
// be set in the file.
func applyKey(flags *flag.FlagSet, section string, k *ini.Key, setFlag func(name, value string) error) error {
	name := k.Name()
	if section != ini.DefaultSection {
		name = section + "-" + name
	}
	if flags.Lookup(name) == nil || name == "config" {
		return fmt.Errorf("no such setting; allowed: %s", settingKeys(flags))
	}
	if len(k.ValueWithShadows()) > 1 {
		return fmt.Errorf("given %d times; allowed: once", len(k.ValueWithShadows()))
	}
	return setFlag(name, k.Value())
}

// settingKeys returns the keys of all settings, separated by commas.
func settingKeys(flags *flag.FlagSet) string {
	var keys []string
	flags.VisitAll(func(f *flag.Flag) {
		if f.Name != "config" {
			keys = append(keys, f.Name)
		}
	})
	return strings.Join(keys, ", ")
}
