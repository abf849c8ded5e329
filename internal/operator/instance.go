package operator

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/prober"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
	"github.com/lycheebarrow/lycheebarrow/internal/watcher"
)

// Evidence says what probes found of an instance.
type Evidence interface {
	Evidence(instance string) prober.Evidence
}

// Instance is an instance of the platform's list or of a placement, with what
// this process's own probes found.
type Instance struct {
	storer.Instance
	// Listed says that the platform's list, which lags, has the instance.
	Listed bool `json:"listed"`
	// Draining says that the configuration gives it no new work.
	Draining bool `json:"draining"`
	// Probed says that a probe was answered; without it the fields below are
	// zero.
	Probed bool `json:"probed"`
	// ProbeFailed says that the newest probe got no answer.
	ProbeFailed bool   `json:"probe_failed"`
	Ready       bool   `json:"ready"`
	State       string `json:"state"`
	Replica     string `json:"replica"`
	Generation  uint64 `json:"generation"`
	// AgeMS is how long ago the answered probe was sent.
	AgeMS int64 `json:"age_ms"`
}

// InstancePage is the answer of /operator/v1/instances.
type InstancePage struct {
	Instances []Instance `json:"instances"`
}

func (a *API) instances(c *gin.Context) {
	// Entries read the list seldom; where the platform is away, the last one is
	// shown.
	if err := a.Placements.Poll(c.Request.Context()); err != nil {
		a.Log.Failure("instances-old", err, nil)
	}
	known := known(a.Placements.View())
	document := a.Configuration.Current().Document()
	now := time.Now()
	page := InstancePage{Instances: make([]Instance, 0, len(known))}
	for _, n := range slices.Sorted(maps.Keys(known)) {
		i := known[n]
		i.Draining = document.Instances[n].Draining
		i.add(a.Evidence.Evidence(n), now)
		page.Instances = append(page.Instances, i)
	}
	c.JSON(http.StatusOK, page)
}

// known returns the instances of the list and of the placements, by name.
func known(view watcher.View) map[string]Instance {
	out := make(map[string]Instance, len(view.Instances()))
	for _, p := range view.Placements() {
		for _, r := range p.GetReplicas() {
			for i, m := range r.GetMembers() {
				out[m] = Instance{Instance: storer.Instance{
					Name: m, Address: r.GetAddresses()[i], DataCentre: p.GetDataCentre(), Domain: p.GetDomain(), Kind: "engine",
				}}
			}
		}
	}
	for n, i := range view.Instances() {
		out[n] = Instance{Instance: i, Listed: true}
	}
	return out
}

// add fills in what the probes found.
func (i *Instance) add(e prober.Evidence, now time.Time) {
	i.ProbeFailed = e.Failed()
	if e.SentAt().IsZero() {
		return
	}
	s := e.Status()
	i.Probed = true
	i.Ready = s.State == engineclient.StateReady
	i.State = string(s.State)
	i.Leaving = i.Leaving || s.Leaving
	i.Replica = s.Replica
	i.Generation = s.Generation
	i.AgeMS = now.Sub(e.SentAt()).Milliseconds()
}
