package configurer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/configurer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
)

// memoryStore is a Store in memory whose calls never fail.
type memoryStore struct {
	objects map[string]storer.Object
}

func (s *memoryStore) Get(_ context.Context, key string) (storer.Object, error) {
	o, ok := s.objects[key]
	if !ok {
		return o, storer.ErrNotFound
	}
	return o, nil
}

func (s *memoryStore) Watch(context.Context, string, uint64, time.Duration) (storer.Object, error) {
	return storer.Object{}, errors.ErrUnsupported
}

func (s *memoryStore) Create(_ context.Context, key string, value []byte) (uint64, error) {
	return s.put(key, value), nil
}

func (s *memoryStore) Update(_ context.Context, key string, _ uint64, value []byte) (uint64, error) {
	return s.put(key, value), nil
}

func (s *memoryStore) put(key string, value []byte) uint64 {
	version := s.objects[key].Version + 1
	s.objects[key] = storer.Object{Key: key, Version: version, Value: value}
	return version
}

// FuzzPatch checks that a patch either is refused and changes nothing, or is
// accepted and results in a valid document with the next number.
func FuzzPatch(f *testing.F) {
	f.Add([]byte(`{"policy":{"max_queue":7}}`))
	f.Add([]byte(`{"groups":{"forms":null}}`))
	f.Add([]byte(`{"organisations":{"a/b~c":{}}}`))
	f.Add([]byte(`[1,2`))
	f.Fuzz(func(t *testing.T, merge []byte) {
		s := &memoryStore{objects: make(map[string]storer.Object)}
		c := configurer.New(s, nil, logger.Logger{})
		first, err := c.Patch(context.Background(), configurer.Patch{ID: "1", Author: "a", Reason: "r", Merge: []byte(`{"policy":{"max_queue":5}}`)})
		require.NoError(t, err)
		require.EqualValues(t, 1, first.GetNumber())
		before := c.Current()
		change, err := c.Patch(context.Background(), configurer.Patch{ID: "2", Base: 1, Author: "a", Reason: "r", Merge: merge})
		if err != nil {
			assert.Equal(t, before, c.Current())
			return
		}
		assert.EqualValues(t, 2, change.GetNumber())
		_, err = validator.Parse([]byte(c.Current().Record().GetDocument()))
		assert.NoError(t, err)
	})
}
