package zlquarantine

import (
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
)

const request = zlunit.Fingerprint(1)

func newLedger() *Ledger {
	return &Ledger{
		Timer: &zltimer.Service{},
	}
}

// recordCrashes adds n crashes, each of another round at another replica.
func recordCrashes(l *Ledger, f zlunit.Fingerprint, n int) {
	for i := range n {
		l.RecordCrash(&Crash{
			Fingerprint: f,
			Round:       Round(i),
			Upstream:    zlunit.Upstream(rune('a' + i)),
		})
	}
}

// Requests that were only under way when a replica ended are not taken for the one that
// ended it: neither one that lost all its sends at once, nor one that one replica broke
// again and again, nor one that was answered in between, nor one whose crashes are old.
func TestRequestsUnderWayAtACrashAreNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLedger()
		for i := range 30 {
			l.RecordCrash(&Crash{
				Fingerprint: 1,
				Round:       1,
				Upstream:    zlunit.Upstream(rune('a' + i)),
			})
			l.RecordCrash(&Crash{
				Fingerprint: 2,
				Round:       Round(i),
				Upstream:    "flaky",
			})
		}
		recordCrashes(l, 3, minCrashes-1)
		l.Clear(3)
		recordCrashes(l, 3, minCrashes)
		for f, want := range map[zlunit.Fingerprint]Verdict{1: Suspected, 2: Suspected, 3: Unsuspected} {
			if got := l.Verdict(f); got != want {
				t.Errorf("request %d: got verdict %d, want %d", f, got, want)
			}
		}
		recordCrashes(l, 4, minCrashes-1)
		time.Sleep(suspicionTime + time.Second)
		recordCrashes(l, 4, 1)
		if got := l.Verdict(4); got != Suspected {
			t.Errorf("old crashes: got verdict %d, want Suspected", got)
		}
	})
}

// The quarantine lasts while the request comes, is the same at all VMs, and one crash
// after it begins the next one.
func TestQuarantineLastsWhileTheRequestComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, other := newLedger(), newLedger()
		recordCrashes(l, request, minCrashes)
		for range 5 {
			time.Sleep(Duration - time.Second)
			if l.Verdict(request) != Quarantined {
				t.Fatal("the quarantine ended while the request still came")
			}
			l.Refuse(request)
			other.Apply(&Report{
				Quarantined: l.Quarantined(),
			})
		}
		time.Sleep(Duration - time.Second)
		for range 3 {
			// What the VMs tell each other does not lengthen it.
			other.Apply(&Report{
				Quarantined: l.Quarantined(),
			})
			l.Apply(&Report{
				Quarantined: other.Quarantined(),
			})
		}
		time.Sleep(2 * time.Second)
		for _, x := range []*Ledger{l, other} {
			if got := x.Verdict(request); got != Suspected {
				t.Fatalf("after the quarantine: got verdict %d, want Suspected", got)
			}
			x.RecordCrash(&Crash{
				Fingerprint: request,
				Round:       99,
				Upstream:    "z",
			})
			if got := x.Verdict(request); got != Quarantined {
				t.Errorf("after one more crash: got verdict %d, want Quarantined", got)
			}
		}
	})
}

// Requests without end don't fill the memory, and those in quarantine stay in it.
func TestLedgerIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLedger()
		recordCrashes(l, request, minCrashes)
		for i := range 3 * maxRequests {
			recordCrashes(l, zlunit.Fingerprint(100+i), 1)
		}
		if n := len(l.requests); n > maxRequests {
			t.Errorf("got %d requests remembered, want %d at most", n, maxRequests)
		}
		if got := l.Verdict(request); got != Quarantined {
			t.Errorf("got verdict %d, want Quarantined", got)
		}
	})
}
