package screener

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// _clockError is how far the clocks of an instance and an upstream may differ. A departure
// is carried over to a later life only beyond it, since it would keep that life out of use
// for long; a limit or a wait that is carried over wrongly ends soon.
const _clockError = 10 * time.Second

// carryOver moves evidence to the present lives of upstreams that gave it after they had
// started again, while the platform's list still showed their earlier starts. The caller
// holds the lock.
func (s *Screener) carryOver(f *cataloguer.Fleet) {
	moveLives(s.limits.byLife, f, func(x *limit) time.Time { return x.at })
	moveLives(s.departures.byLife, f, func(x departure) time.Time { return x.since.Add(-_clockError) })
	for id, w := range s.waits {
		if next, ok := laterLife(w.life, w.since, f); ok {
			w.life = next
			s.waits[id] = w
		}
	}
}

// moveLives moves the values of a map whose evidence, from the time at(value), belongs to
// later lives.
func moveLives[V any](values map[Life]V, f *cataloguer.Fleet, at func(V) time.Time) {
	for life, v := range values {
		next, ok := laterLife(life, at(v), f)
		if !ok {
			continue
		}
		delete(values, life)
		if _, known := values[next]; !known {
			values[next] = v
		}
	}
}

// laterLife returns the present life of an upstream, and whether it is a later one in which
// the upstream gave evidence at the given time.
func laterLife(life Life, at time.Time, f *cataloguer.Fleet) (Life, bool) {
	u, ok := f.Upstreams[life.Upstream]
	if !ok || u.StartedMs <= life.StartedMs || at.UnixMilli() <= u.StartedMs {
		return Life{}, false
	}
	return LifeOf(&u), true
}
