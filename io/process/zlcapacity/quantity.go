package zlcapacity

// Quantity names a value that is measured at a point.
type Quantity string

// The quantities that the capacity page uses. Costs are means per daemon, but
// QuantityPlatformCalls, QuantityQueryCPU and QuantityFlightHeap are totals of
// all daemons. QuantityChangeCPU and QuantityChangeBytes are the cost of the
// death of one daemon in SeriesDaemons, and of one edit in SeriesNodes.
const (
	QuantityCPU           Quantity = "controlCpuShare"
	QuantityBytes         Quantity = "controlBytesPerSecond"
	QuantityMessages      Quantity = "controlMessagesPerSecond"
	QuantityConnections   Quantity = "peerConnections"
	QuantityHeap          Quantity = "heapBytes"
	QuantityPeak          Quantity = "peakBytes"
	QuantityPlatformCalls Quantity = "platformCallsPerSecond"
	QuantityInForce       Quantity = "inForceLastSeconds"
	QuantityInForceMedian Quantity = "inForceMedianSeconds"
	QuantityTakeover      Quantity = "takeoverSeconds"
	QuantityChangeCPU     Quantity = "memberChangeCpuSeconds"
	QuantityChangeBytes   Quantity = "memberChangeBytes"
	QuantityQueryCPU      Quantity = "cpuSecondsPerQuery"
	QuantityFlightHeap    Quantity = "heapBytesInFlight"
)

// Series names the parameter that is varied.
type Series string

// The series that a run measures.
const (
	SeriesDaemons   Series = "daemons"
	SeriesUpstreams Series = "upstreams"
	SeriesNodes     Series = "nodes"
	SeriesShards    Series = "shards"
	SeriesInFlight  Series = "inFlight"
)

// Point is one measurement: the value X of the varied parameter and the
// measured values.
type Point struct {
	Series Series               `json:"series"`
	X      float64              `json:"x"`
	Values map[Quantity]float64 `json:"values"`
}
