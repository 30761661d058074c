package zlcapacity

// Quantity names what was measured at a point.
type Quantity string

// The quantities that the page is worked out from.
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

// Series names what was varied.
type Series string

// The series that a run measures.
const (
	SeriesDaemons   Series = "daemons"
	SeriesUpstreams Series = "upstreams"
	SeriesNodes     Series = "nodes"
	SeriesShards    Series = "shards"
	SeriesInFlight  Series = "inFlight"
)

// Point is one measurement.
type Point struct {
	Series Series               `json:"series"`
	X      float64              `json:"x"`
	Values map[Quantity]float64 `json:"values"`
}
