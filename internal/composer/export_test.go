package composer

// Evidence opens evidence to tests.
type Evidence = evidence

// SetDepartures sets what peers found.
func (e *evidence) SetDepartures(d departing) { e.departures = d }
