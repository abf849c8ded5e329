package grouper

import (
	"cmp"
	"slices"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// ModelCount is what a data centre has of a model.
type ModelCount struct {
	DataCentre, Model string
	// Open is the number of complete groups whose head accepts requests, and Forming that
	// of groups for which members join.
	Open, Forming int
	// StagedSpares is the number of spares that have the model staged.
	StagedSpares int
	// Free is the number of upstreams that may join a new group of any model.
	Free int
}

// Census returns the counts of all models in each data centre, sorted by data centre and
// model, as of the latest decision.
func (g *Grouper) Census() []ModelCount { return slices.Clone(g.census) }

// takeCensus counts the groups and spares that the decision leaves.
func (d *decision) takeCensus() {
	counts := make(map[localModel]*ModelCount)
	free := make(map[string]int)
	dataCentres := make(map[string]bool)
	for _, u := range d.snapshot.Fleet.OfService(d.snapshot.Service) {
		dataCentres[u.DataCentre] = true
		if d.isFree(u) {
			free[u.DataCentre]++
		}
	}
	for dataCentre := range dataCentres {
		for _, m := range d.snapshot.Engine.Models {
			counts[localModel{dataCentre, m.Name}] = &ModelCount{DataCentre: dataCentre, Model: m.Name, Free: free[dataCentre]}
		}
	}
	for _, u := range d.snapshot.Fleet.OfService(d.snapshot.Service) {
		isSpare := u.Group.Name == "" || isStandbyName(u.Group.Name)
		for _, model := range u.StagedModels {
			if n := counts[localModel{u.DataCentre, model}]; n != nil && isSpare && d.isFree(u) {
				n.StagedSpares++
			}
		}
	}
	for _, x := range d.groups {
		if x.isComplete() && x.head.Group.State == cataloguer.MemberOpen {
			counts[localModel{x.head.DataCentre, x.model.Name}].addOpen()
		}
	}
	for _, p := range d.plans {
		counts[localModel{p.dataCentre, p.model.Name}].addForming()
	}
	d.census = d.census[:0]
	for _, n := range counts {
		d.census = append(d.census, *n)
	}
	slices.SortFunc(d.census, func(a, b ModelCount) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Model, b.Model))
	})
}

// addOpen and addForming count a group; groups of a model that the engine no longer has
// count nowhere.
func (n *ModelCount) addOpen() {
	if n != nil {
		n.Open++
	}
}

func (n *ModelCount) addForming() {
	if n != nil {
		n.Forming++
	}
}
