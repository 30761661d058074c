package zlcapacity

// The size to design for.
const (
	targetDaemons      = 660.0
	targetUpstreams    = 4000.0
	targetQueries      = 130000.0
	targetShards       = 160.0
	targetNodes        = 3000.0
	targetChangesDay   = 3200.0
	targetMembersDay   = 21.0 + 420.0
	targetInForce      = 13.0
	targetControlCPU   = 0.037
	targetControlHeap  = 64.0 * mebibyte
	targetControlBytes = 6.0 * kibibyte
	targetP99          = 0.180
	// targetConnections is 3 vouchers, 3 neighbours for news in the own data
	// centre and 1 in each other, and on average as many towards a daemon.
	targetConnections = 2 * (3.0 + 3.0 + 3.0)

	// inFlightDaemons is how many daemons the series of queries in flight has.
	inFlightDaemons = 4.0

	// platformReads and platformWrites are what the platform takes a second.
	platformReads  = 2000.0
	platformWrites = 300.0

	mebibyte  = 1 << 20
	kibibyte  = 1 << 10
	dayInSecs = 86400.0
)

// Slope names one fitted line of the page.
type Slope struct {
	Series   Series
	Quantity Quantity
	// Against, if set, is the quantity that the line is fitted against.
	Against Quantity
	Unit    string
	// Scale turns the measured unit into Unit.
	Scale float64
	// Target is the place that the page works out.
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
		Target:   targetNodes,
		Title:    "live heap per daemon against nodes of the settings tree",
	},
	{
		Series:   SeriesNodes,
		Quantity: QuantityChangeBytes,
		Unit:     "KB",
		Scale:    1.0 / kibibyte,
		Target:   targetNodes,
		Title:    "control bytes per daemon of one edit against nodes of the tree",
	},
	{
		Series:   SeriesNodes,
		Quantity: QuantityChangeCPU,
		Unit:     "ms",
		Scale:    1000,
		Target:   targetNodes,
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
		Target:   inFlightDaemons * targetQueries / targetDaemons * targetP99,
		Title:    "live heap of four daemons together against queries in flight",
	},
}
