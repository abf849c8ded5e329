package registrar

import (
	"fmt"
	"sync"
)

// Registrar keeps services by name. The zero value is an empty registrar ready
// for use. It is safe for concurrent use.
type Registrar struct {
	mu       sync.RWMutex
	services map[string]any
}

// Register adds a service; a name that is taken is an error.
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

// Find returns the service of that name as a T. A missing name and a service
// of another type are errors.
func Find[T any](r *Registrar, name string) (T, error) {
	var none T
	r.mu.RLock()
	defer r.mu.RUnlock()
	s, ok := r.services[name]
	if !ok {
		return none, fmt.Errorf("registrar: find %s: no such service", name)
	}
	t, ok := s.(T)
	if !ok {
		return none, fmt.Errorf("registrar: find %s: it is a %T, not a %T", name, s, none)
	}
	return t, nil
}
