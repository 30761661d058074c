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

// newFleet returns the ledgers of n VMs that tell each other everything at once.
func newFleet(n int) []*Ledger {
	var fleet []*Ledger
	for i := range n {
		l := newLedger()
		l.Self = zlunit.VM(rune('a' + i))
		l.OnReport = func(report *Report) {
			for _, other := range fleet {
				if other != l {
					other.Apply(report)
				}
			}
		}
		fleet = append(fleet, l)
	}
	return fleet
}

// begin counts the VMs that would send the request.
func begin(fleet []*Ledger) (sent []*Ledger) {
	for _, l := range fleet {
		if l.Begin(request) != Quarantined {
			sent = append(sent, l)
		}
	}
	return sent
}

// A request in quarantine is tried again once in the fleet, after a time that grows with
// each crash and that refused attempts do not lengthen; one answer lifts it everywhere.
func TestQuarantineEndsByProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(7)
		for i := range minCrashes {
			fleet[i].RecordCrash(&Crash{
				Fingerprint: request,
				Round:       Round(i),
				Upstream:    zlunit.Upstream(rune('a' + i)),
			})
		}
		for trial, quiet := range []time.Duration{30 * time.Second, 5 * time.Minute, 50 * time.Minute, time.Hour} {
			for began := time.Now(); time.Since(began) < quiet-time.Second; time.Sleep(quiet / 20) {
				if sent := begin(fleet); len(sent) > 0 {
					t.Fatalf("trial %d: sent by %d VMs after %v, want none before %v", trial, len(sent), time.Since(began), quiet)
				}
			}
			sent := []*Ledger(nil)
			for range 1000 {
				if sent = begin(fleet); len(sent) > 0 {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if len(sent) != 1 {
				t.Fatalf("trial %d: sent by %d VMs, want 1", trial, len(sent))
			}
			if trial < 3 {
				sent[0].RecordCrash(&Crash{
					Fingerprint: request,
					Round:       Round(99 + trial),
					Upstream:    "z",
				})
				continue
			}
			sent[0].Clear(request)
		}
		for i, l := range fleet {
			if got := l.Verdict(request); got != Unsuspected {
				t.Errorf("VM %d after the answer: got verdict %d, want Unsuspected", i, got)
			}
		}
	})
}

// A trial without an outcome is followed by another one.
func TestTrialWithoutOutcomeIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(3)
		recordCrashes(fleet[0], request, minCrashes)
		time.Sleep(firstDuration)
		trials := 0
		for range 300 {
			trials += len(begin(fleet))
			time.Sleep(100 * time.Millisecond)
		}
		if trials < 4 || trials > 15 {
			t.Errorf("got %d trials in 30 s, want one each 2 to 7 s", trials)
		}
	})
}

// What other VMs were answered weighs against a crash, also before it is known.
func TestAnswersOfOtherVMsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(3)
		fleet[2].Clear(request)
		recordCrashes(fleet[0], request, minCrashes)
		for i, l := range fleet {
			if got := l.Verdict(request); got != Unsuspected {
				t.Errorf("VM %d: got verdict %d, want Unsuspected", i, got)
			}
		}
		time.Sleep(clearedTime + 2*answeredTime)
		recordCrashes(fleet[0], request, minCrashes)
		if got := fleet[2].Verdict(request); got != Quarantined {
			t.Errorf("long after the answer: got verdict %d, want Quarantined", got)
		}
	})
}

// Crashes count once a replica is found to have ended, and never if it is found alive,
// also after they counted.
func TestCrashesNeedEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLedger()
		l.Verify = func(Crash, bool) {}
		recordCrashes(l, request, minCrashes)
		for i, want := range []Verdict{Suspected, Suspected, Quarantined} {
			l.ReportEnded(Replica{
				Upstream: zlunit.Upstream(rune('a' + i)),
			})
			if got := l.Verdict(request); got != want {
				t.Errorf("%d replicas ended: got verdict %d, want %d", i+1, got, want)
			}
		}
		l.ReportAlive(Replica{
			Upstream: "b",
		})
		if got := l.Verdict(request); got != Suspected {
			t.Errorf("one of them lives: got verdict %d, want Suspected", got)
		}
		recordCrashes(l, 2, minCrashes)
		time.Sleep(pendingTime + time.Second)
		if got := l.Verdict(2); got != Unsuspected {
			t.Errorf("never confirmed: got verdict %d, want Unsuspected", got)
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

// Guards against a quarantine that is lifted by a VM that only heard of it, since a broken
// connection that it saw itself was no crash.
func TestDisprovedCrashKeepsTheQuarantineOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLedger()
		l.Verify = func(Crash, bool) {}
		l.Apply(&Report{
			Quarantined: []Entry{{
				Fingerprint: request,
				Left:        firstDuration,
			}},
		})
		for _, ended := range []zlunit.Upstream{"", "b"} {
			recordCrashes(l, request, 2)
			l.ReportEnded(Replica{
				Upstream: ended,
			})
			l.ReportAlive(Replica{
				Upstream: "a",
			})
			if got := l.Verdict(request); got != Quarantined {
				t.Errorf("got verdict %d after a crash was disproved, want Quarantined", got)
			}
		}
	})
}

// Guards against a replica that crashed being taken for one that lives once it is back, while
// the registry still lists it as it was: its crash counts.
func TestRestartedReplicaDoesNotDisproveItsCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLedger()
		recordCrashes(l, request, minCrashes)
		time.Sleep(minRestartTime)
		l.Verify = func(Crash, bool) {}
		l.RecordCrash(&Crash{
			Fingerprint: request,
			Round:       minCrashes,
			Upstream:    "a",
		})
		l.ReportAlive(Replica{
			Upstream: "a",
		})
		if got := l.Verdict(request); got != Quarantined {
			t.Errorf("got verdict %d after the replica was back, want Quarantined", got)
		}
	})
}
