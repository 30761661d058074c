package zlscene

import (
	"zinnialock/io/process/zldaemon"
)

// entry is what serves callers on one entry VM.
type entry interface {
	// Target is its caller address.
	Target() string
	// Ready reports whether it serves and sees a fleet of n daemons.
	Ready(n int) bool
	// Held counts the upstreams that it may speak to.
	Held() int
	// Kill ends it at once.
	Kill()
	// Stop ends it as planned; the error says what was cut.
	Stop() error
}

// daemonEntry is a daemon of the tier.
type daemonEntry struct {
	daemon *zldaemon.Daemon
}

// Target implements entry.
func (d *daemonEntry) Target() string {
	return d.daemon.Config.CallerListen
}

// Ready implements entry.
func (d *daemonEntry) Ready(n int) bool {
	ready, _ := d.daemon.Ready()
	return ready && d.daemon.Peers() == n
}

// Held implements entry.
func (d *daemonEntry) Held() int {
	n := 0
	for _, h := range d.daemon.Status().Fleet.Held {
		if h.Usable {
			n++
		}
	}
	return n
}

// Kill implements entry.
func (d *daemonEntry) Kill() {
	d.daemon.Kill()
}

// Stop implements entry.
func (d *daemonEntry) Stop() error {
	return d.daemon.Stop()
}
