package grouper

import (
	"strings"

	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// _standbyPrefix is the prefix of the names of standbys, which are groups of one
// spare. A standby never opens. To form it, the spare loads the model that is staged
// on its host, so that the spare later joins a group that lost a member as quickly as
// the group's remaining members do.
const _standbyPrefix = "lb-standby-"

func isStandbyName(group string) bool { return strings.HasPrefix(group, _standbyPrefix) }

// orderStandbys orders each spare that has a staged model to form a standby.
func (d *decision) orderStandbys() {
	for _, domain := range d.domainsWithFreeUpstreams() {
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

// stagedModel returns a model that is staged on the upstream's host, and whether
// there is one.
func (d *decision) stagedModel(u cataloguer.Upstream) (cataloguer.Model, bool) {
	for _, name := range u.StagedModels {
		if m, ok := d.snapshot.Engine.Model(name); ok {
			return m, true
		}
	}
	return cataloguer.Model{}, false
}

func standbyName(id string) string { return _standbyPrefix + id }
