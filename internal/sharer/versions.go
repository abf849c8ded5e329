package sharer

import (
	"slices"

	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/reflector"
)

// keepLaterVersions replaces the values of a listing that are of an earlier version than what this
// process knows. The caller holds the sharer's lock.
func (x *Source) keepLaterVersions(values map[string][]byte) {
	for name, value := range values {
		if known, ok := x.copy.values[name]; ok && x.isOlder(name, value, known) {
			values[name] = known
		}
	}
}

// withoutEarlierVersions returns the changes but for those to an earlier version than what this
// process knows. The caller holds the sharer's lock.
func (x *Source) withoutEarlierVersions(changes []reflector.Change[[]byte]) []reflector.Change[[]byte] {
	return slices.DeleteFunc(changes, func(c reflector.Change[[]byte]) bool {
		known, ok := x.copy.values[c.Name]
		return ok && !c.Deleted && x.isOlder(c.Name, c.Value, known)
	})
}

// isOlder reports whether a value is of an earlier version than a known one, and logs it.
func (x *Source) isOlder(name string, value, known []byte) bool {
	if x.IsOlder == nil || !x.IsOlder(name, value, known) {
		return false
	}
	x.sharer.Log.Warn("earlier-version", logger.Fields{"kind": x.kind, "name": name, "outcome": "the later version that is known stays in force"})
	return true
}
