package zlquarantine

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a quarantine that an operator cannot end, and against a VM that missed the
// message and brings it back to the others with its next heartbeat.
func TestLiftedQuarantineStaysLifted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(3)
		recordCrashes(fleet[0], request, minCrashes)
		for i, l := range fleet {
			if list := l.List(); len(list) != 1 || list[0].Fingerprint != request || list[0].Left <= 0 || len(list[0].Replicas) != minCrashes {
				t.Fatalf("VM %d: got the list %v, want the request with %d replicas", i, list, minCrashes)
			}
		}
		missed := fleet[2].Quarantined()
		if !fleet[1].Lift(request) || fleet[1].Lift(request) {
			t.Fatal("want one quarantine to be lifted")
		}
		for i, l := range fleet {
			if got := l.Verdict(request); got != Unsuspected {
				t.Errorf("VM %d: got verdict %d after the lift, want %d", i, got, Unsuspected)
			}
		}
		// VM 2 is put back to before the message, and sends a heartbeat after a while.
		fleet[2].requests = nil
		fleet[2].Apply(&Report{
			Quarantined: missed,
		})
		time.Sleep(4 * time.Second)
		fleet[0].Apply(&Report{
			Quarantined: fleet[2].Quarantined(),
		})
		for i, l := range fleet {
			if got := l.Verdict(request); got != Unsuspected {
				t.Errorf("VM %d: got verdict %d after the heartbeat, want %d", i, got, Unsuspected)
			}
		}
	})
}
