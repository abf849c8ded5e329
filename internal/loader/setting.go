package loader

import (
	"flag"
	"fmt"
	"strings"
	"time"
)

// setting is one key. It gathers its text as a flag.Value, and stores the value
// only when it is checked, so that no fault hides another.
type setting struct {
	key       string
	meaning   string
	allowed   string
	byDefault string
	// secret keeps the value out of faults.
	secret bool
	// store takes the text; false says that it is not allowed.
	store func(text string) bool

	text string
}

// String returns the text given, or the default.
func (x *setting) String() string {
	if x == nil {
		return ""
	}
	return x.text
}

// Set keeps the text for check.
func (x *setting) Set(text string) error {
	x.text = strings.TrimSpace(text)
	return nil
}

// check stores the value and returns its fault, if any.
func (x *setting) check() []error {
	if x.store(x.text) {
		return nil
	}
	given := fmt.Sprintf("%q is not allowed", x.text)
	switch {
	case x.text == "":
		given = "missing"
	case x.secret:
		given = "the value is not allowed"
	}
	return []error{fmt.Errorf("%s: %s; allowed: %s", x.key, given, x.allowed)}
}

// flagSet returns the settings as flags.
func flagSet(role Role, list []*setting) *flag.FlagSet {
	set := flag.NewFlagSet("lb"+string(role), flag.ContinueOnError)
	set.String("config", "", "INI `file` with settings")
	for _, x := range list {
		x.text = x.byDefault
		set.Var(x, x.key, x.meaning+"; allowed: "+x.allowed)
	}
	return set
}

// MarkdownTable returns all settings of a role as a Markdown table.
func MarkdownTable(role Role) string {
	var b strings.Builder
	b.WriteString("| key and flag | in the INI file | environment | default | meaning | allowed |\n")
	b.WriteString("|---|---|---|---|---|---|\n")
	s := Settings{role: role}
	for _, x := range s.list() {
		fmt.Fprintf(&b, "| `-%s` | %s | `%s` | %s | %s | %s |\n",
			x.key, iniName(x.key), variable("lb"+string(role), x.key), quoted(x.byDefault), strings.ReplaceAll(x.meaning, "`", ""), x.allowed)
	}
	return b.String()
}

// iniName tells where a key stands in the INI file.
func iniName(key string) string {
	for _, s := range []string{"callers", "operator", "peer", "metrics", "drain", "retry", "engine", "memory"} {
		if rest, ok := strings.CutPrefix(key, s+"-"); ok {
			return fmt.Sprintf("`[%s]` `%s`", s, rest)
		}
	}
	return "`" + key + "`"
}

func variable(program, key string) string {
	return strings.ToUpper(program + "_" + strings.ReplaceAll(key, "-", "_"))
}

func quoted(text string) string {
	if text == "" {
		return "none"
	}
	return "`" + text + "`"
}

func storeDuration(into *time.Duration) func(string) bool {
	return func(text string) bool {
		d, err := time.ParseDuration(text)
		*into = d
		return err == nil && d >= 0
	}
}
