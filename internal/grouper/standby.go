package grouper

import (
	"strings"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// _standbyPrefix begins the names of groups of one spare. Such a group never
// opens. It makes the spare take the model from its host beforehand, so that it
// joins a group that lost a member as quickly as those that were in it.
const _standbyPrefix = "lb-standby-"

func isStandbyName(group string) bool { return strings.HasPrefix(group, _standbyPrefix) }

// warmUp makes spares that hold a model on their hosts take it from there.
func (d *decision) orderStandbys() {
	for _, domain := range d.domainsWithFree() {
		for _, u := range d.candidates(domain) {
			m, ok := d.stagedModel(u)
			if !ok || u.Group.Name != "" || u.Unlisted {
				continue
			}
			epoch := d.nextEpoch()
			d.addOrder(Order{
				Operation: OperationJoin, Upstream: u.ID, Group: standbyName(u.ID), Epoch: epoch, Model: m.Name,
				Members: []string{u.ID}, Observed: u.Group, Reason: "standby",
			})
		}
	}
}

// held returns the model that an upstream has on its host.
func (d *decision) stagedModel(u cataloguer.Upstream) (cataloguer.Model, bool) {
	for _, name := range u.StagedModels {
		if m, ok := d.snapshot.Engine.Model(name); ok {
			return m, true
		}
	}
	return cataloguer.Model{}, false
}

func standbyName(id string) string { return _standbyPrefix + id }
