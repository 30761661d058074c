package zlbroadcast

import (
	"testing"
	"time"

	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/process/zlunit"
)

const crashing = zlunit.Fingerprint(7)

func recordCrash(b *Broadcaster, n int) {
	b.Quarantine.RecordCrash(&zlquarantine.Crash{
		Fingerprint: crashing,
		Round:       zlquarantine.Round(n),
		Upstream:    zlunit.Upstream(rune('a' + n)),
	})
}

// A request that crashes replicas comes at any VM: what two VMs of different data centres
// saw counts together at both, and an answer to it clears it at both.
func TestCrashesCountAcrossDataCentres(t *testing.T) {
	b := newPairIn(t, [2]zlunit.DataCentre{"lowell", "nashua"})
	recordCrash(b[0], 0)
	recordCrash(b[0], 1)
	recordCrash(b[1], 2)
	for _, x := range b {
		eventually(t, "the request is in quarantine", func() bool {
			return x.Quarantine.Verdict(crashing) == zlquarantine.Quarantined
		})
	}
	b[0].Quarantine.Clear(crashing)
	for _, x := range b {
		eventually(t, "the request is cleared", func() bool {
			return x.Quarantine.Verdict(crashing) == zlquarantine.Unsuspected
		})
	}
}

// A process that starts after the crashes learns of the quarantine, also if no heartbeat
// reaches it.
func TestQuarantineIsKnownAfterAStart(t *testing.T) {
	b := newPairIn(t, [2]zlunit.DataCentre{"lowell", "nashua"})
	b[0].Quarantine.Apply(&zlquarantine.Report{
		Quarantined: []zlquarantine.Entry{{
			Fingerprint: crashing,
			Left:        time.Minute,
		}},
	})
	b[0].Quarantine.MarkKnown()
	eventually(t, "the request is in quarantine", func() bool {
		return b[1].Quarantine.Verdict(crashing) == zlquarantine.Quarantined
	})
	<-b[1].Quarantine.Known()
}

// VMs that all start at the same time wait for each other only for a while.
func TestStartOfAllVMsEndsTheWaitForTheQuarantine(t *testing.T) {
	b := newPairIn(t, [2]zlunit.DataCentre{"lowell", "nashua"})
	for i := range b {
		<-b[i].Quarantine.Known()
	}
}
