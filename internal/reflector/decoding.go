package reflector

import (
	"context"
	"fmt"
	"time"
)

// DecodingSource decodes the objects of a source of bytes. An object that can't be
// decoded is left out of the values and reported in Errors.
type DecodingSource[T any] struct {
	Source Source[[]byte]
	Decode func(name string, value []byte) (T, error)
}

// List reads and decodes all objects.
func (d DecodingSource[T]) List(ctx context.Context) (Listing[T], error) {
	l, err := d.Source.List(ctx)
	if err != nil {
		return Listing[T]{}, err
	}
	out := Listing[T]{Values: make(map[string]T, len(l.Values)), Revision: l.Revision, Errors: l.Errors}
	for name, value := range l.Values {
		v, err := d.Decode(name, value)
		if err != nil {
			out.Errors = append(out.Errors, fmt.Errorf("reflector: decode %s: %w", name, err))
			continue
		}
		out.Values[name] = v
	}
	return out, nil
}

// Watch waits for changes and decodes them. A change that can't be decoded counts
// as a removal and is reported in Errors.
func (d DecodingSource[T]) Watch(ctx context.Context, after uint64, wait time.Duration) (Changes[T], error) {
	c, err := d.Source.Watch(ctx, after, wait)
	if err != nil {
		return Changes[T]{}, err
	}
	out := Changes[T]{Revision: c.Revision, Errors: c.Errors}
	for _, x := range c.Changes {
		next := Change[T]{Name: x.Name, Deleted: x.Deleted}
		if !x.Deleted {
			next.Value, err = d.Decode(x.Name, x.Value)
			if err != nil {
				out.Errors = append(out.Errors, fmt.Errorf("reflector: decode %s: %w", x.Name, err))
				next.Deleted = true
			}
		}
		out.Changes = append(out.Changes, next)
	}
	return out, nil
}
