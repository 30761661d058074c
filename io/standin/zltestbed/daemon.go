package zltestbed

import (
	"zinnialock/io/process/zldaemon"
)

// daemon serves callers on one VM of a testbed.
type daemon interface {
	// Target returns its address for callers.
	Target() string
	// Ready reports whether it accepts queries and knows n daemons, itself included.
	Ready(n int) bool
	// Held returns the number of upstreams that it may send to.
	Held() int
	// Kill ends it at once.
	Kill()
	// Stop stops it gracefully; the error says which queries were cut.
	Stop() error
}

// inProcessDaemon is a daemon that runs inside this process.
type inProcessDaemon struct {
	daemon *zldaemon.Daemon
}

// Target implements daemon.
func (d *inProcessDaemon) Target() string {
	return d.daemon.Config.CallerListen
}

// Ready implements daemon.
func (d *inProcessDaemon) Ready(n int) bool {
	ready, _ := d.daemon.Ready()
	return ready && d.daemon.FleetSize() == n
}

// Held implements daemon.
func (d *inProcessDaemon) Held() int {
	n := 0
	for _, h := range d.daemon.Status().Fleet.Held {
		if h.Usable {
			n++
		}
	}
	return n
}

// Kill implements daemon.
func (d *inProcessDaemon) Kill() {
	d.daemon.Kill()
}

// Stop implements daemon.
func (d *inProcessDaemon) Stop() error {
	return d.daemon.Stop()
}
