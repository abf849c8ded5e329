package registrar

import (
	"fmt"
	"sync"
)

// Registrar holds services by name. The zero value is empty and ready for use. It is safe
// for concurrent use.
type Registrar struct {
	mu       sync.RWMutex
	services map[string]any
}

// Register adds a service under a name. It returns an error if the name is already taken.
func (r *Registrar) Register(name string, service any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.services[name]; ok {
		return fmt.Errorf("registrar: register %s: name is taken", name)
	}
	if r.services == nil {
		r.services = make(map[string]any)
	}
	r.services[name] = service
	return nil
}

// Find returns the service of that name as a T. It returns an error if there is no such
// service, or if the service is not a T.
func Find[T any](r *Registrar, name string) (T, error) {
	var zero T
	r.mu.RLock()
	defer r.mu.RUnlock()
	s, ok := r.services[name]
	if !ok {
		return zero, fmt.Errorf("registrar: find %s: no such service", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, fmt.Errorf("registrar: find %s: service is a %T, not a %T", name, s, zero)
	}
	return t, nil
}
