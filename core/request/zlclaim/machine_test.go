package zlclaim

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"zinnialock/core/process/zlunit"
)

// step is one action of the state machine.
type step struct {
	What   string
	Daemon int
	ID     int
}

var steps = rapid.Custom(func(t *rapid.T) step {
	return step{
		What: rapid.SampledFrom([]string{
			"claim", "claim", "claim", "claimBoth", "claimTwice", "repeat", "done", "notRun", "down", "up", "lose", "late", "calm", "restart", "wait", "age",
		}).Draw(t, "what"),
		Daemon: rapid.IntRange(0, 2).Draw(t, "daemon"),
		ID:     rapid.IntRange(0, 5).Draw(t, "id"),
	}
})

// idState is what the model knows of an id.
type idState struct {
	id zlunit.RequestID
	// holder is the nonce of the attempt that may run, or 0. Only an outcome
	// "not run" of that attempt resets it.
	holder Nonce
	// ended is the nonce of an attempt that ended as not run, or 0.
	ended Nonce
	done  bool
}

// machine drives the writers of three daemons and checks each verdict against
// the model.
type machine struct {
	store   *fakeStore
	writers [3]*Writers
	ids     [6]idState
	nonce   Nonce
	// violation describes the first wrong verdict, or is empty.
	violation string
}

func (m *machine) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

func (m *machine) claim(daemon, n int) (claimReq ClaimRequest, verdict Verdict) {
	m.nonce++
	claimReq = ClaimRequest{
		ID:     m.ids[n].id,
		Nonce:  m.nonce,
		Holder: zlunit.VM(fmt.Sprint("vm", daemon)),
	}
	reply, err := m.writers[daemon].Claim(context.Background(), claimReq)
	if err != nil {
		return claimReq, ""
	}
	return claimReq, reply.Verdict
}

// checkVerdict checks a verdict against the model.
func (m *machine) checkVerdict(n int, claimReq ClaimRequest, verdict Verdict) {
	k := &m.ids[n]
	switch verdict {
	case VerdictGranted:
		if k.holder != 0 {
			m.fail("id %d: got verdict fresh for nonce %d while nonce %d may run", n, claimReq.Nonce, k.holder)
		}
		k.holder = claimReq.Nonce
	case VerdictDone:
		if !k.done {
			m.fail("id %d: got verdict done without a recorded run", n)
		}
	default:
	}
}

func (m *machine) record(daemon, n int, state State) {
	k := &m.ids[n]
	if k.holder == 0 || k.done {
		return
	}
	if state == StateDone {
		k.done = true
	}
	// The holder ends its attempt before it records the outcome.
	nonce := k.holder
	if state == StateNotRun {
		k.holder = 0
		k.ended = nonce
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = m.writers[daemon].Record(ctx, Outcome{
		ID:    k.id,
		Nonce: nonce,
		State: state,
	})
}

func (m *machine) apply(s step) {
	switch s.What {
	case "claim":
		claimReq, verdict := m.claim(s.Daemon, s.ID)
		m.checkVerdict(s.ID, claimReq, verdict)
	case "claimBoth":
		m.claimBoth(s, 1)
	case "claimTwice":
		m.claimBoth(s, 0)
	case "repeat":
		m.repeat(s)
	case "done":
		m.record(s.Daemon, s.ID, StateDone)
	case "notRun":
		m.record(s.Daemon, s.ID, StateNotRun)
	case "down", "up":
		m.store.set(func() { m.store.down = s.What == "down" })
	case "lose":
		m.store.set(func() { m.store.lose = 0.5 })
	case "late":
		m.store.set(func() { m.store.late = 0.5 })
	case "calm":
		m.store.set(func() { m.store.lose, m.store.late = 0, 0 })
	case "restart":
		m.writers[s.Daemon].Close()
		m.writers[s.Daemon] = newWriters(m.store)
	case "wait":
		time.Sleep(time.Second)
	case "age":
		time.Sleep(Window / 2)
	}
}

// repeat sends the claim request of an ended attempt again, as happens when a reply was
// lost.
func (m *machine) repeat(s step) {
	k := m.ids[s.ID]
	if k.ended == 0 {
		return
	}
	reply, err := m.writers[s.Daemon].Claim(context.Background(), ClaimRequest{
		ID:     k.id,
		Nonce:  k.ended,
		Holder: "vm",
	})
	if err == nil && reply.Verdict == VerdictGranted && k.holder != 0 {
		m.fail("id %d: got verdict fresh for the ended nonce %d while nonce %d may run", s.ID, k.ended, k.holder)
	}
}

// claimBoth claims one id twice at the same time, through two daemons whose
// indices differ by distance.
func (m *machine) claimBoth(s step, distance int) {
	type outcome struct {
		claimReq ClaimRequest
		verdict  Verdict
	}
	out := make(chan outcome, 2)
	for i := range 2 {
		m.nonce++
		claimReq := ClaimRequest{
			ID:     m.ids[s.ID].id,
			Nonce:  m.nonce,
			Holder: "vm",
		}
		w := m.writers[(s.Daemon+i*distance)%len(m.writers)]
		go func() {
			reply, err := w.Claim(context.Background(), claimReq)
			if err != nil {
				reply.Verdict = ""
			}
			out <- outcome{
				claimReq: claimReq,
				verdict:  reply.Verdict,
			}
		}()
	}
	for range 2 {
		o := <-out
		m.checkVerdict(s.ID, o.claimReq, o.verdict)
	}
}

// runMachine runs steps and returns the first violation, or "".
func runMachine(t *testing.T, list []step) string {
	t.Helper()
	violation := ""
	synctest.Test(t, func(*testing.T) {
		m := &machine{
			store: newFakeStore(uint64(len(list))),
		}
		for i := range m.writers {
			m.writers[i] = newWriters(m.store)
		}
		for i := range m.ids {
			m.ids[i].id = NewID(time.Now())
			if i%2 == 1 {
				m.ids[i].id = zlunit.RequestID(fmt.Sprintf("caller's own %d", i))
			}
		}
		for _, s := range list {
			m.apply(s)
		}
		for _, w := range m.writers {
			w.Close()
		}
		time.Sleep(2 * time.Second)
		violation = m.violation
	})
	return violation
}

// TestClaimsAreExclusive draws claims of a few ids through three daemons, with
// failures of the store and restarts. At most one attempt of an id may run;
// another one may run only after the first has recorded that it did not run.
func TestClaimsAreExclusive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		list := rapid.SliceOfN(steps, 5, 60).Draw(rt, "steps")
		if violation := runMachine(t, list); violation != "" {
			rt.Fatal(violation)
		}
	})
}
