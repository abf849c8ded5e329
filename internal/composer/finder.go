package composer

import "github.com/lycheebarrow/lycheebarrow/internal/registrar"

// finder finds several services of a kernel and records the first error, so that callers
// check for an error once.
type finder struct {
	kernel *kernel
	err    error
}

// find returns the service registered under name, or the zero value if this or an earlier
// find failed.
func find[T any](f *finder, name string) T {
	var zero T
	if f.err != nil {
		return zero
	}
	s, err := registrar.Find[T](&f.kernel.services, name)
	if err != nil {
		f.err = err
		return zero
	}
	return s
}
