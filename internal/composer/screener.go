package composer

import (
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
	"github.com/lycheebarrow/lycheebarrow/internal/enumerator"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/meter"
	"github.com/lycheebarrow/lycheebarrow/internal/reflector"
	"github.com/lycheebarrow/lycheebarrow/internal/screener"
)

// _boundedStartDelay is how long after its start a process sends nothing to cold and limited
// upstreams: other processes may learn of it that much later, and an earlier run of it may
// have sent some requests just before.
const _boundedStartDelay = 6 * time.Second

// _evacuationGrace is how long an evacuation stays in force that is missing from a new list: the
// store may have come back from a copy of before it, and the operator writes it again. Entries
// of upstreams are back within about two seconds.
const _evacuationGrace = 4 * time.Second

// buildScreener builds the screener, which decides which upstreams may take requests.
func buildScreener(k *kernel) error {
	s := &screener.Screener{
		Name: k.settings.Name(), BoundedFrom: time.Now().Add(_boundedStartDelay),
		ColdLimit: screener.ColdLimit{Overage: k.settings.ColdOverage(), Slack: k.settings.ColdSlack()},
	}
	return k.services.Register(NameScreener, s)
}

// followEvacuations keeps the screener's evacuated data centres up to date.
func followEvacuations(k *kernel, c *cataloguer.Catalogue, sc *screener.Screener, source reflector.Source[string], recovered func() <-chan struct{}) {
	c.FollowEvacuations()
	evacuations := &reflector.Reflector[string]{
		Kind: "evacuations", Log: k.log, Source: source, Recovered: recovered, RemovalGrace: _evacuationGrace,
		Publish: func(revision uint64, values map[string]string) {
			publishEvacuations(k.log, c, sc, revision, values)
		},
	}
	k.run(evacuations.Run)
}

// publishEvacuations puts the evacuations of data centres in force.
func publishEvacuations(log logger.Logger, c *cataloguer.Catalogue, sc *screener.Screener, revision uint64, values map[string]string) {
	dataCentres := make(map[string]bool, len(values))
	for _, d := range values {
		dataCentres[d] = true
	}
	begun, ended := sc.SetEvacuated(dataCentres, time.Now())
	c.SetEvacuationsKnown()
	fleet := c.Fleet()
	for _, d := range begun {
		fields := logger.Fields{"data_centre": d, "revision": revision, "source": screener.SourceOperator, "outcome": "begun: no new requests to its upstreams"}
		if fleet != nil && !fleet.HasDataCentre(d) {
			log.Warn("evacuation-unknown", logger.Fields{"data_centre": d, "revision": revision, "outcome": "no listed upstream is in this data centre"})
		}
		log.Event("evacuation", fields)
	}
	for d, lasted := range ended {
		log.Event("evacuation", logger.Fields{
			"data_centre": d, "revision": revision, "source": screener.SourceOperator, "age_ms": lasted.Milliseconds(), "outcome": "ended: its upstreams count as cold at first",
		})
	}
}

// observeFleet passes a new list of upstreams to the screener, and logs the cold phases that
// begin and end.
func observeFleet(log logger.Logger, sc *screener.Screener, f *cataloguer.Fleet, now time.Time) {
	begun, ended := sc.Observe(f, now)
	for _, u := range begun {
		log.Event("cold", logger.Fields{
			"upstream": u.ID, "service": u.Service, "data_centre": u.DataCentre, "source": screener.SourceList, "left_ms": u.ColdTime.Milliseconds(), "outcome": "begun",
		})
	}
	for _, u := range ended {
		log.Event("cold", logger.Fields{"upstream": u.ID, "service": u.Service, "data_centre": u.DataCentre, "source": screener.SourceList, "outcome": "ended"})
	}
}

// registerScreenerGauges defines the gauges of upstreams that take no requests, or take them
// at a limited rate, by state.
func registerScreenerGauges(m *meter.Meter, sc *screener.Screener, c *cataloguer.Catalogue) error {
	for _, x := range []struct {
		state             screener.State
		name, description string
	}{
		{screener.StateLimited, "upstreams_limited", "Upstreams that state how many requests they take and are in no more restrictive state."},
		{screener.StateCold, "upstreams_cold", "Upstreams that take requests at a limited rate, since they are cold."},
		{screener.StateWaiting, "upstreams_waiting", "Upstreams that asked this process to wait."},
		{screener.StateLeaving, "upstreams_leaving", "Upstreams that are leaving."},
		{screener.StateEvacuated, "upstreams_evacuated", "Upstreams in evacuated data centres."},
	} {
		read := func() int64 {
			if f := c.Fleet(); f != nil {
				return sc.Count(f, time.Now())[x.state]
			}
			return 0
		}
		if err := m.RegisterGauge(x.name, x.description, read); err != nil {
			return err
		}
	}
	return nil
}

// processNames returns the names of the running processes.
func processNames(m enumerator.Members) []string {
	names := make([]string, 0, len(m.Peers()))
	for _, p := range m.Peers() {
		names = append(names, p.Name)
	}
	return names
}
