package grouper

import "github.com/lycheebarrow/lycheebarrow/internal/cataloguer"

// groupCounts is the number of groups of each model, over all data centres and in each.
type groupCounts struct {
	total map[string]int
	local map[localModel]int
	// dataCentres is the number of data centres with upstreams of the service.
	dataCentres int
}

// localModel is a model in a data centre.
type localModel struct{ dataCentre, model string }

// countGroups returns the number of groups that are complete or are being formed.
func (d *decision) countGroups() groupCounts {
	c := groupCounts{total: make(map[string]int), local: make(map[localModel]int)}
	for _, x := range d.groups {
		if d.plans[x.key.epoch] == nil && x.isComplete() && x.drainingCount == 0 {
			c.add(x.model, x.head.DataCentre)
		}
	}
	for _, p := range d.plans {
		c.add(p.model, p.dataCentre)
	}
	dataCentres := make(map[string]bool)
	for _, u := range d.snapshot.Fleet.OfService(d.snapshot.Service) {
		dataCentres[u.DataCentre] = true
	}
	c.dataCentres = len(dataCentres)
	return c
}

func (c groupCounts) add(m cataloguer.Model, dataCentre string) {
	c.total[m.Name]++
	c.local[localModel{dataCentre, m.Name}]++
}

// of returns the number of groups of a model that a data centre has: the mean of those
// that lie in it and of its even part of all. So each data centre gets groups of all
// models, which it needs when it is cut off from the others, and the total keeps to the
// demand where the numbers of single data centres are rounded.
func (c groupCounts) of(m cataloguer.Model, dataCentre string) float64 {
	const sources = 2
	local := float64(c.local[localModel{dataCentre, m.Name}])
	evenPart := float64(c.total[m.Name]) / float64(max(c.dataCentres, 1))
	return (local + evenPart) / sources
}
