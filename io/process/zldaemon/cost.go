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

// Cost is what the daemon's process has used since its start.
type Cost struct {
	VM zlunit.VM `json:"vm"`
	// CPUSeconds is user and system time.
	CPUSeconds float64 `json:"cpuSeconds"`
	// HeapBytes is the live heap after a collection, 0 if not asked for.
	HeapBytes uint64 `json:"heapBytes"`
	// PeakBytes is the largest resident size.
	PeakBytes  uint64                 `json:"peakBytes"`
	Goroutines int                    `json:"goroutines"`
	Platform   zlplatform.MeterTotals `json:"platform"`
	Peers      zlpeer.Traffic         `json:"peers"`
	Daemons    int                    `json:"daemons"`
	Upstreams  int                    `json:"upstreams"`
	// Held counts the upstreams that this daemon may send to.
	Held int `json:"held"`
	// Nodes counts the nodes of the settings tree in force.
	Nodes    int   `json:"nodes"`
	InFlight int64 `json:"inFlight"`
}

// kilobyte is the unit of the resident size that the kernel reports.
const kilobyte = 1024

// Cost returns the totals so far. Heap asks for a garbage collection and the
// live heap, which costs more than all the rest.
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
		Daemons:    d.Peers(),
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
			c.Held++
		}
	}
	return c
}

func seconds(t syscall.Timeval) float64 {
	return (time.Duration(t.Sec)*time.Second + time.Duration(t.Usec)*time.Microsecond).Seconds()
}

func (d *Daemon) serveCost(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d.Cost(r.URL.Query().Get("heap") == "true"))
}
