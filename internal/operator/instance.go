package operator

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/placementtracker"
	"github.com/lycheebarrow/lycheebarrow/internal/prober"
	"github.com/lycheebarrow/lycheebarrow/internal/storer"
)

// Evidence returns the probe results of an instance.
type Evidence interface {
	Evidence(instance string) prober.Evidence
}

// Instance is an instance that the platform's list or a placement names, with the
// results of this process's own probes.
type Instance struct {
	storer.Instance
	// Listed reports whether the platform's list contains the instance; the list
	// lags behind the placements.
	Listed bool `json:"listed"`
	// Draining reports whether the configuration excludes the instance from new work.
	Draining bool `json:"draining"`
	// Probed reports whether any probe was answered; if not, the fields from Ready
	// on are zero.
	Probed bool `json:"probed"`
	// ProbeFailed reports whether the latest probe failed.
	ProbeFailed bool   `json:"probe_failed"`
	Ready       bool   `json:"ready"`
	State       string `json:"state"`
	Replica     string `json:"replica"`
	Generation  uint64 `json:"generation"`
	// AgeMS is the time since the latest answered probe was sent, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// InstancePage is the body of a response to GET /operator/v1/instances.
type InstancePage struct {
	Instances []Instance `json:"instances"`
}

func (a *API) instances(c *gin.Context) {
	// Read the list now, since entries read it rarely. If the platform is
	// unavailable, the response shows the list read last.
	if err := a.Placements.Poll(c.Request.Context()); err != nil {
		a.Log.Failure("instances-old", err, nil)
	}
	known := knownInstances(a.Placements.View())
	document := a.Configuration.Current().Document()
	now := time.Now()
	page := InstancePage{Instances: make([]Instance, 0, len(known))}
	for _, n := range slices.Sorted(maps.Keys(known)) {
		i := known[n]
		i.Draining = document.Instances[n].Draining
		i.addEvidence(a.Evidence.Evidence(n), now)
		page.Instances = append(page.Instances, i)
	}
	c.JSON(http.StatusOK, page)
}

// knownInstances returns the instances of the platform's list and of the placements,
// by name. The list takes precedence over a placement.
func knownInstances(view placementtracker.View) map[string]Instance {
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

// addEvidence sets the fields that come from probes. The instance is leaving if
// either the platform's list or the instance's own status says so.
func (i *Instance) addEvidence(e prober.Evidence, now time.Time) {
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
