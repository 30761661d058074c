package zlcapacity

// The size that the product is designed for, and the limits of a daemon at that
// size.
const (
	targetDaemons               = 660.0
	targetUpstreams             = 4000.0
	targetQueriesPerSecond      = 130000.0
	targetShards                = 160.0
	targetTreeNodes             = 3000.0
	targetEditsPerDay           = 3200.0
	targetMemberChangesPerDay   = 21.0 + 420.0
	targetInForceSeconds        = 13.0
	targetControlCores          = 0.037
	targetControlHeapBytes      = 64.0 * mebibyte
	targetControlBytesPerSecond = 6.0 * kibibyte
	targetP99Seconds            = 0.180
	// targetConnections counts 3 guarantors, 3 gossip neighbours in the own
	// data centre and 1 in each of the 3 others, and on average as many
	// connections from other daemons.
	targetConnections = 2 * (3.0 + 3.0 + 3.0)

	// inFlightDaemons is the number of daemons in the measurements of
	// SeriesInFlight.
	inFlightDaemons = 4.0

	// platformReadsPerSecond and platformWritesPerSecond are the limits of the
	// platform.
	platformReadsPerSecond  = 2000.0
	platformWritesPerSecond = 300.0

	mebibyte      = 1 << 20
	kibibyte      = 1 << 10
	secondsPerDay = 86400.0
)

// Slope describes one fitted line of the page.
type Slope struct {
	Series   Series
	Quantity Quantity
	// Against is the quantity on the x axis; empty means the varied parameter.
	Against Quantity
	Unit    string
	// Scale converts the measured unit to Unit.
	Scale float64
	// Target is the x at which the page evaluates the line.
	Target float64
	Title  string
}

// slopes lists the fitted lines in the order of the page.
var slopes = []Slope{
	{
		Series:   SeriesDaemons,
		Quantity: QuantityCPU,
		Against:  QuantityConnections,
		Unit:     "% of a core",
		Scale:    100,
		Target:   targetConnections,
		Title:    "control processor time per daemon against connections to other daemons",
	},
	{
		Series:   SeriesDaemons,
		Quantity: QuantityBytes,
		Against:  QuantityConnections,
		Unit:     "KB/s",
		Scale:    1.0 / kibibyte,
		Target:   targetConnections,
		Title:    "control bytes per daemon, both ways, against connections to other daemons",
	},
	{
		Series:   SeriesDaemons,
		Quantity: QuantityMessages,
		Against:  QuantityConnections,
		Unit:     "messages/s",
		Scale:    1,
		Target:   targetConnections,
		Title:    "control messages per daemon against connections to other daemons",
	},
	{
		Series:   SeriesDaemons,
		Quantity: QuantityConnections,
		Unit:     "connections",
		Scale:    1,
		Target:   targetDaemons,
		Title:    "connections to other daemons against daemons (bounded by 18; the line only shows the growth)",
	},
	{
		Series:   SeriesDaemons,
		Quantity: QuantityHeap,
		Unit:     "MB",
		Scale:    1.0 / mebibyte,
		Target:   targetDaemons,
		Title:    "live heap per daemon against daemons",
	},
	{
		Series:   SeriesDaemons,
		Quantity: QuantityPlatformCalls,
		Unit:     "calls/s",
		Scale:    1,
		Target:   targetDaemons,
		Title:    "platform calls of the fleet against daemons",
	},
	{
		Series:   SeriesDaemons,
		Quantity: QuantityInForceMedian,
		Unit:     "s",
		Scale:    1,
		Target:   targetDaemons,
		Title:    "median time to be in force at the last daemon against daemons",
	},
	{
		Series:   SeriesDaemons,
		Quantity: QuantityInForce,
		Unit:     "s",
		Scale:    1,
		Target:   targetDaemons,
		Title:    "largest time to be in force at the last daemon against daemons",
	},
	{
		Series:   SeriesDaemons,
		Quantity: QuantityTakeover,
		Unit:     "s",
		Scale:    1,
		Target:   targetDaemons,
		Title:    "time to take over a dead daemon's upstreams against daemons",
	},
	{
		Series:   SeriesDaemons,
		Quantity: QuantityChangeCPU,
		Unit:     "ms",
		Scale:    1000,
		Target:   targetDaemons,
		Title:    "processor time per daemon of one member's death against daemons",
	},
	{
		Series:   SeriesDaemons,
		Quantity: QuantityChangeBytes,
		Unit:     "KB",
		Scale:    1.0 / kibibyte,
		Target:   targetDaemons,
		Title:    "control bytes per daemon of one member's death against daemons",
	},
	{
		Series:   SeriesUpstreams,
		Quantity: QuantityHeap,
		Unit:     "MB",
		Scale:    1.0 / mebibyte,
		Target:   targetUpstreams,
		Title:    "live heap per daemon against upstreams",
	},
	{
		Series:   SeriesUpstreams,
		Quantity: QuantityCPU,
		Unit:     "% of a core",
		Scale:    100,
		Target:   targetUpstreams,
		Title:    "control processor time per daemon against upstreams",
	},
	{
		Series:   SeriesUpstreams,
		Quantity: QuantityBytes,
		Unit:     "KB/s",
		Scale:    1.0 / kibibyte,
		Target:   targetUpstreams,
		Title:    "control bytes per daemon against upstreams",
	},
	{
		Series:   SeriesNodes,
		Quantity: QuantityHeap,
		Unit:     "MB",
		Scale:    1.0 / mebibyte,
		Target:   targetTreeNodes,
		Title:    "live heap per daemon against nodes of the settings tree",
	},
	{
		Series:   SeriesNodes,
		Quantity: QuantityChangeBytes,
		Unit:     "KB",
		Scale:    1.0 / kibibyte,
		Target:   targetTreeNodes,
		Title:    "control bytes per daemon of one edit against nodes of the tree",
	},
	{
		Series:   SeriesNodes,
		Quantity: QuantityChangeCPU,
		Unit:     "ms",
		Scale:    1000,
		Target:   targetTreeNodes,
		Title:    "processor time per daemon of one edit against nodes of the tree",
	},
	{
		Series:   SeriesShards,
		Quantity: QuantityQueryCPU,
		Unit:     "ms",
		Scale:    1000,
		Target:   targetShards,
		Title:    "processor time of all daemons per query against shards",
	},
	{
		Series:   SeriesInFlight,
		Quantity: QuantityFlightHeap,
		Unit:     "MB",
		Scale:    1.0 / mebibyte,
		Target:   inFlightDaemons * targetQueriesPerSecond / targetDaemons * targetP99Seconds,
		Title:    "live heap of four daemons together against queries in flight",
	},
}
