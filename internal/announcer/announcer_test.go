package announcer_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/announcer"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// store holds the object of a process that has ended, and fails to delete it at first.
type store struct {
	announcer.Store
	writes, lists, deletions int
}

func (s *store) Create(context.Context, string, []byte) (uint64, error) {
	s.writes++
	return 1, nil
}

func (s *store) Update(_ context.Context, _ string, version uint64, _ []byte) (uint64, error) {
	s.writes++
	return version + 1, nil
}

func (s *store) List(context.Context, string) ([]storer.Object, error) {
	s.lists++
	return []storer.Object{{Key: announcer.Prefix + "d/ended", Version: 7, Value: []byte("{}")}}, nil
}

func (s *store) Delete(context.Context, string, uint64) error {
	s.deletions++
	if s.deletions == 1 {
		return storer.ErrUnavailable
	}
	return nil
}

// processes counts the records that it receives. It has a record of its own from the
// moment that self is set.
type processes struct {
	self  *wire.ProcessRecord
	added int
}

func (p *processes) Self(context.Context) *wire.ProcessRecord { return p.self }

func (p *processes) AddUnverified(_ context.Context, records []*wire.ProcessRecord) {
	p.added += len(records)
}

// stepUntilLists makes steps until the store has been listed n times.
func stepUntilLists(t *testing.T, a *announcer.Announcer, s *store, n int) {
	for s.lists < n {
		require.NoError(t, a.Step(t.Context()))
	}
}

// An object that could not be deleted is not taken for a renewed one: the next list
// deletes it.
func TestFailedDeletionIsTriedAgain(t *testing.T) {
	s, p := &store{}, &processes{self: &wire.ProcessRecord{Name: "a", DataCentre: "d"}}
	a := announcer.New(s, p, 1, logger.Logger{})
	stepUntilLists(t, a, s, 2)
	assert.Equal(t, 1, s.deletions)
	stepUntilLists(t, a, s, 3)
	assert.Equal(t, 2, s.deletions)
	assert.Equal(t, 1, p.added)
}

// A step without a record to write counts as no write, and lists nothing.
func TestStepWithoutRecord(t *testing.T) {
	s, p := &store{}, &processes{}
	a := announcer.New(s, p, 1, logger.Logger{})
	require.NoError(t, a.Step(t.Context()))
	assert.Zero(t, s.writes)
	assert.Zero(t, s.lists)
}
