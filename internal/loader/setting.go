package loader

import (
	"flag"
	"fmt"
	"strings"
	"time"
)

// setting is one setting of a process. As a flag.Value it accepts any text; check
// parses and stores the value later. If Set returned an error, the flag package
// would stop there and hide the errors of the settings that follow.
type setting struct {
	key          string
	meaning      string
	allowed      string
	defaultValue string
	// secret keeps the value out of error messages.
	secret bool
	// store parses and stores the text, and reports whether it is allowed.
	store func(text string) bool

	text string
}

// String returns the text that was set, or the default.
func (x *setting) String() string {
	if x == nil {
		return ""
	}
	return x.text
}

// Set stores the text without surrounding spaces, for check. It never fails.
func (x *setting) Set(text string) error {
	x.text = strings.TrimSpace(text)
	return nil
}

// check stores the value, or returns the error of a text that is not allowed.
func (x *setting) check() []error {
	if x.store(x.text) {
		return nil
	}
	problem := fmt.Sprintf("%q is not allowed", x.text)
	switch {
	case x.text == "":
		problem = "missing"
	case x.secret:
		problem = "the value is not allowed"
	}
	return []error{fmt.Errorf("%s: %s; allowed: %s", x.key, problem, x.allowed)}
}

// newFlagSet returns a flag for each setting, set to its default, and the flag
// -config.
func newFlagSet(role Role, settings []*setting) *flag.FlagSet {
	flags := flag.NewFlagSet("lb"+string(role), flag.ContinueOnError)
	flags.String("config", "", "INI `file` with settings")
	for _, x := range settings {
		x.text = x.defaultValue
		flags.Var(x, x.key, x.meaning+"; allowed: "+x.allowed)
	}
	return flags
}

// MarkdownTable returns a Markdown table of all settings of a role.
func MarkdownTable(role Role) string {
	var b strings.Builder
	b.WriteString("| key and flag | in the INI file | environment | default | meaning | allowed |\n")
	b.WriteString("|---|---|---|---|---|---|\n")
	s := Settings{role: role}
	for _, x := range s.roleSettings() {
		fmt.Fprintf(&b, "| `-%s` | %s | `%s` | %s | %s | %s |\n",
			x.key, iniLocation(x.key), environmentVariable("lb"+string(role), x.key), codeSpan(x.defaultValue), strings.ReplaceAll(x.meaning, "`", ""), x.allowed)
	}
	return b.String()
}

// iniLocation returns the section, if any, and the name of a key in the INI file,
// in Markdown.
func iniLocation(key string) string {
	for _, s := range []string{"callers", "operator", "peer", "metrics", "drain", "retry", "engine", "memory", "processor", "descriptors", "evacuation", "cold"} {
		if name, ok := strings.CutPrefix(key, s+"-"); ok {
			return fmt.Sprintf("`[%s]` `%s`", s, name)
		}
	}
	return "`" + key + "`"
}

// environmentVariable returns the name of the variable that sets a key.
func environmentVariable(program, key string) string {
	return strings.ToUpper(program + "_" + strings.ReplaceAll(key, "-", "_"))
}

// codeSpan returns text as a Markdown code span, or "none" if text is empty.
func codeSpan(text string) string {
	if text == "" {
		return "none"
	}
	return "`" + text + "`"
}

// storeDuration returns a store function for a duration of 0 or more.
func storeDuration(target *time.Duration) func(string) bool {
	return func(text string) bool {
		d, err := time.ParseDuration(text)
		*target = d
		return err == nil && d >= 0
	}
}
