package loader

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"gopkg.in/ini.v1"
)

// Parse fills the flags of set from args, the environment and the INI file that
// the flag -config names. The program's name, in capitals, is the prefix of its
// environment variables.
func Parse(set *flag.FlagSet, args []string) error {
	set.String("config", "", "INI `file` with settings")
	var faults []error
	err := ff.Parse(set, args,
		ff.WithEnvVarPrefix(strings.ToUpper(set.Name())),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(iniParser(&faults)),
	)
	if err != nil {
		faults = append(faults, err)
	}
	if set.NArg() > 0 {
		faults = append(faults, fmt.Errorf("unexpected argument %q; settings are given as -key value", set.Arg(0)))
	}
	if len(faults) > 0 {
		return fmt.Errorf("loader: settings of %s: %w", set.Name(), errors.Join(faults...))
	}
	return nil
}

// iniParser returns a parser that gathers the faults of single keys, so that
// all of them are reported at once.
func iniParser(faults *[]error) ff.ConfigFileParser {
	return func(r io.Reader, set func(name, value string) error) error {
		text, err := io.ReadAll(r)
		if err != nil {
			return fmt.Errorf("read the settings file: %w", err)
		}
		file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, text)
		if err != nil {
			return fmt.Errorf("parse the settings file: %w", err)
		}
		for _, s := range file.Sections() {
			for _, k := range s.Keys() {
				if err := set(keyName(s.Name(), k.Name()), k.Value()); err != nil {
					*faults = append(*faults, fmt.Errorf("section [%s], key %q: %w", s.Name(), k.Name(), err))
				}
			}
		}
		return nil
	}
}

func keyName(section, key string) string {
	if section == ini.DefaultSection {
		return key
	}
	return section + "-" + key
}
