package prober_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/prober"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// counter answers status requests as instance e1 after delay, and counts them.
type counter struct {
	probes atomic.Int64
	delay  time.Duration
}

func (c *counter) Status(context.Context, string) (engineclient.Status, error) {
	c.probes.Add(1)
	time.Sleep(c.delay)
	return engineclient.Status{Instance: "e1"}, nil
}

// While at least one caller has marked the replica active, its member is probed at
// ActiveInterval, and the first mark causes a probe at once.
func TestMarkActive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &counter{}
		p := prober.New(c, logger.Logger{})
		p.SetTargets([]prober.Target{{Instance: "e1", Interval: time.Second, ActiveInterval: 100 * time.Millisecond}})
		probesDuring := func(d time.Duration) int64 {
			before := c.probes.Load()
			time.Sleep(d)
			synctest.Wait()
			return c.probes.Load() - before
		}
		time.Sleep(450 * time.Millisecond)
		assert.EqualValues(t, 2, probesDuring(2*time.Second))
		r := &wire.Replica{Members: []string{"e1"}}
		before := c.probes.Load()
		releaseFirst, releaseSecond := p.MarkActive(r), p.MarkActive(r)
		synctest.Wait()
		assert.EqualValues(t, 1, c.probes.Load()-before, "at once")
		assert.EqualValues(t, 10, probesDuring(time.Second))
		releaseFirst()
		assert.EqualValues(t, 10, probesDuring(time.Second))
		releaseSecond()
		assert.EqualValues(t, 3, probesDuring(3*time.Second))
		assert.NoError(t, p.Close())
	})
}

// An answer that takes more than two intervals makes PresentSince start again.
func TestPresentSince(t *testing.T) {
	testCases := []struct {
		name        string
		delay       time.Duration
		startsAgain bool
	}{
		{name: "prompt", delay: 50 * time.Millisecond},
		{name: "slow", delay: 250 * time.Millisecond, startsAgain: true},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &counter{delay: tc.delay}
				p := prober.New(c, logger.Logger{})
				p.SetTargets([]prober.Target{{Instance: "e1", Interval: 100 * time.Millisecond}})
				time.Sleep(time.Second + time.Millisecond)
				first := p.Evidence("e1").PresentSince()
				time.Sleep(time.Second)
				assert.Equal(t, tc.startsAgain, p.Evidence("e1").PresentSince().After(first))
				assert.NoError(t, p.Close())
			})
		})
	}
}

// remover is a Meter that removes the targets of a Prober when a probe has been answered.
type remover struct{ prober *prober.Prober }

func (r remover) CountProbe(bool) { r.prober.SetTargets(nil) }

// A probe that ends while its target is removed leaves no evidence.
func TestRemovedTargetHasNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := prober.New(&counter{}, logger.Logger{})
		p.Meter = remover{p}
		p.SetTargets([]prober.Target{{Instance: "e1", Interval: time.Second}})
		time.Sleep(500 * time.Millisecond)
		assert.Zero(t, p.Evidence("e1"))
		assert.NoError(t, p.Close())
	})
}
