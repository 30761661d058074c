package zldaemon

// updateGauges sets the gauges of the upstreams that this daemon sends to: the number
// in each state, and the totals of requests in flight and queued.
func (d *Daemon) updateGauges() {
	scope := d.metrics.Scope()
	inFlight, queued := 0, 0
	for _, s := range d.executor.Snapshot() {
		inFlight += s.InFlight
		queued += s.Queued
	}
	scope.Gauge("upstreamInFlight").Update(float64(inFlight))
	scope.Gauge("upstreamQueued").Update(float64(queued))
	for state, n := range d.executor.States() {
		scope.Tagged(map[string]string{
			"state": string(state),
		}).Gauge("upstreams").Update(float64(n))
	}
}
