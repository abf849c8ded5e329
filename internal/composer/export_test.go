package composer

// Evidence exports evidence for tests.
type Evidence = evidence

// SetDepartures sets the source of departures that peers report.
func (e *evidence) SetDepartures(d departureSource) { e.departures = d }
