package composer

import "github.com/lycheebarrow/lycheebarrow/internal/registrar"

// finder finds several services of a kernel, and keeps the first error.
type finder struct {
	kernel *kernel
	err    error
}

// find returns the service of that name, or the zero value after an error.
func find[T any](f *finder, name string) T {
	var none T
	if f.err != nil {
		return none
	}
	s, err := registrar.Find[T](&f.kernel.services, name)
	if err != nil {
		f.err = err
		return none
	}
	return s
}
