package zldaemon

import (
	"encoding/json"
	"net/http"
	"runtime"
	"syscall"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/connection/zlpeer"
	"zinnialock/io/process/zlplatform"
)

// Cost is the resource usage of the daemon's process since its start.
type Cost struct {
	// VM is the VM of the daemon.
	VM zlunit.VM `json:"vm"`
	// CPUSeconds is the user and system CPU time.
	CPUSeconds float64 `json:"cpuSeconds"`
	// HeapBytes is the size of the live heap after a garbage collection; 0 if it
	// was not requested.
	HeapBytes uint64 `json:"heapBytes"`
	// PeakBytes is the largest resident set size.
	PeakBytes uint64 `json:"peakBytes"`
	// Goroutines is the current number of goroutines.
	Goroutines int `json:"goroutines"`
	// Platform has the totals of this daemon's calls to the platform.
	Platform zlplatform.MeterTotals `json:"platform"`
	// Peers has the totals of the traffic with other daemons.
	Peers zlpeer.Traffic `json:"peers"`
	// Daemons is the result of Daemon.Peers.
	Daemons int `json:"daemons"`
	// Upstreams is the number of upstreams in all catalogues.
	Upstreams int `json:"upstreams"`
	// Leased is the number of upstreams that this daemon may send to (JSON: held).
	Leased int `json:"held"`
	// Nodes is the number of nodes of the settings tree in force.
	Nodes int `json:"nodes"`
	// InFlight is the number of queries of callers that are running.
	InFlight int64 `json:"inFlight"`
}

// kilobyte is the unit in which the kernel reports the resident set size, in bytes.
const kilobyte = 1024

// Cost returns the usage so far. If heap is true, it runs a garbage collection first
// to measure the live heap, which is far more expensive than the rest.
func (d *Daemon) Cost(heap bool) Cost {
	var memory runtime.MemStats
	if heap {
		runtime.GC()
		runtime.ReadMemStats(&memory)
	}
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	c := Cost{
		VM:         d.Config.Name,
		CPUSeconds: seconds(usage.Utime) + seconds(usage.Stime),
		HeapBytes:  memory.HeapAlloc,
		PeakBytes:  uint64(usage.Maxrss) * kilobyte,
		Goroutines: runtime.NumGoroutine(),
		Platform:   d.meter.Totals(),
		Peers:      d.node.Traffic(),
		Daemons:    d.FleetSize(),
		InFlight:   d.inFlight.Load(),
	}
	view := d.views.Load()
	if view == nil {
		return c
	}
	c.Upstreams = len(view.Upstreams())
	c.Nodes = len(view.Tree.Nodes)
	for _, h := range d.fleet.Status().Held {
		if h.Usable {
			c.Leased++
		}
	}
	return c
}

// seconds returns t in seconds.
func seconds(t syscall.Timeval) float64 {
	return (time.Duration(t.Sec)*time.Second + time.Duration(t.Usec)*time.Microsecond).Seconds()
}

// serveCost returns the Cost as JSON, with the live heap for "?heap=true".
func (d *Daemon) serveCost(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d.Cost(r.URL.Query().Get("heap") == "true"))
}
