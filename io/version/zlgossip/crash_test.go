package zlgossip

import (
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/process/zlunit"
)

// A query that crashes upstreams comes at any daemon: what three of them saw counts
// together at all of them within a second, and one that was cut off learns it after its
// return.
func TestCrashesReachAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const crashing = zlunit.Fingerprint(7)
		w := newFleet(4, 25, exactClock)
		stop := w.run()
		defer stop()
		w.mu.Lock()
		w.cut["dc3-7"] = true
		w.mu.Unlock()
		time.Sleep(5 * time.Second)
		for i, vm := range []string{"dc0-0", "dc1-3", "dc2-9"} {
			w.nodes[vm].Quarantine.RecordCrash(&zlquarantine.Crash{
				Fingerprint: crashing,
				Round:       zlquarantine.Round(i),
				Upstream:    zlunit.Upstream(vm),
			})
		}
		time.Sleep(time.Second)
		for vm, n := range w.nodes {
			if got := n.Quarantine.Verdict(crashing); got != zlquarantine.Quarantined && vm != "dc3-7" {
				t.Errorf("%s: got verdict %d after a second, want Quarantined", vm, got)
			}
		}
		w.mu.Lock()
		delete(w.cut, "dc3-7")
		w.mu.Unlock()
		time.Sleep(3 * Period)
		if got := w.nodes["dc3-7"].Quarantine.Verdict(crashing); got != zlquarantine.Quarantined {
			t.Errorf("the daemon that was cut off: got verdict %d, want Quarantined", got)
		}
		if n := len(w.nodes["dc0-0"].crashReports); n > 0 {
			t.Errorf("got %d reports still being passed on, want none", n)
		}
	})
}
