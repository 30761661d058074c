package zlclaim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

// scene is two daemons on one store; runs counts what was sent.
type scene struct {
	store   *fakeStore
	writers [2]*Writers
	guards  [2]*Guard
	runs    int
	outcome zlquery.Outcome
}

func newScene() *scene {
	s := &scene{
		store:   newFakeStore(1),
		outcome: zlquery.OutcomeDone,
	}
	for i := range s.guards {
		s.writers[i] = newWriters(s.store)
		s.guards[i] = newGuard(zlunit.VM([]string{"a", "b"}[i]), s.writers[i], runner(s.run))
	}
	return s
}

func (s *scene) run(_ context.Context, req *zlquery.Request) *zlquery.Answer {
	if s.outcome != zlquery.OutcomeNotRun {
		s.runs++
	}
	return &zlquery.Answer{
		ID:      req.ID,
		Outcome: s.outcome,
		Version: 7,
	}
}

func (s *scene) ask(daemon int, id zlunit.RequestID, retry bool) *zlquery.Answer {
	return s.guards[daemon].Answer(context.Background(), &zlquery.Request{
		ID:       id,
		Retry:    retry,
		Deadline: time.Now().Add(2 * time.Second),
	})
}

func (s *scene) close() {
	for i := range s.guards {
		s.guards[i].Close(context.Background())
		s.writers[i].Close()
	}
}

// inScene runs f in a bubble of virtual time.
func inScene(t *testing.T, given string, f func(s *scene)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newScene()
		defer s.close()
		convey.Convey("Given two daemons on one store, "+given, t, func() {
			f(s)
		})
	})
}

func TestGuardOutcomes(t *testing.T) {
	inScene(t, "a request that ran is not run again, and its holder returns its answer", func(s *scene) {
		id := NewID(time.Now())
		convey.So(s.ask(0, id, false).Outcome, convey.ShouldEqual, zlquery.OutcomeDone)
		time.Sleep(time.Second)
		convey.So(s.ask(0, id, true).Version, convey.ShouldEqual, zlunit.IndexVersion(7))
		other := s.ask(1, id, true)
		convey.So(other.Outcome, convey.ShouldEqual, zlquery.OutcomeDone)
		convey.So(other.Reason, convey.ShouldEqual, zlquery.ReasonClaimed)
		convey.So(s.runs, convey.ShouldEqual, 1)
	})
	inScene(t, "an id used for another request does not get that one's answer", func(s *scene) {
		id := NewID(time.Now())
		s.ask(0, id, false)
		a := s.guards[0].Answer(context.Background(), &zlquery.Request{
			ID:       id,
			Text:     "something else",
			Deadline: time.Now().Add(time.Second),
		})
		convey.So(a.Reason, convey.ShouldEqual, zlquery.ReasonClaimed)
		convey.So(s.runs, convey.ShouldEqual, 1)
	})
	inScene(t, "a request that was proved not run may be run by another daemon", func(s *scene) {
		id := NewID(time.Now())
		s.outcome = zlquery.OutcomeNotRun
		refused := s.ask(0, id, false)
		convey.So(refused.Outcome, convey.ShouldEqual, zlquery.OutcomeNotRun)
		time.Sleep(refused.RetryAfter)
		s.outcome = zlquery.OutcomeDone
		convey.So(s.ask(1, id, true).Outcome, convey.ShouldEqual, zlquery.OutcomeDone)
		convey.So(s.runs, convey.ShouldEqual, 1)
	})
	inScene(t, "a request whose end is unknown stays unknown, at once and with advice", func(s *scene) {
		id := NewID(time.Now())
		s.outcome = zlquery.OutcomeUnknown
		s.ask(0, id, false)
		start := time.Now()
		a := s.ask(1, id, true)
		convey.So(a.Outcome, convey.ShouldEqual, zlquery.OutcomeUnknown)
		convey.So(a.RetryAfter, convey.ShouldBeGreaterThan, 0)
		convey.So(time.Since(start), convey.ShouldBeLessThan, 2*writeGap)
		convey.So(s.runs, convey.ShouldEqual, 1)
	})
}

func TestGuardFaults(t *testing.T) {
	inScene(t, "a store that is down refuses, not run; unknown if the caller sent it before", func(s *scene) {
		s.store.set(func() { s.store.down = true })
		a := s.ask(0, NewID(time.Now()), false)
		convey.So(a.Outcome, convey.ShouldEqual, zlquery.OutcomeNotRun)
		convey.So(a.Reason, convey.ShouldEqual, zlquery.ReasonClaimStore)
		convey.So(s.ask(0, NewID(time.Now()), true).Outcome, convey.ShouldEqual, zlquery.OutcomeUnknown)
		convey.So(s.runs, convey.ShouldEqual, 0)
		s.store.set(func() { s.store.down = false })
	})
	inScene(t, "a store that stays down refuses at once, and serves once it is back", func(s *scene) {
		s.store.set(func() { s.store.down = true })
		id := sameSegment(3)
		s.ask(0, id, false)
		time.Sleep(claimLife)
		start := time.Now()
		convey.So(s.ask(0, sameSegment(3), false).Reason, convey.ShouldEqual, zlquery.ReasonClaimStore)
		convey.So(time.Since(start), convey.ShouldBeLessThan, 2*retryPause+writeGap)
		s.store.set(func() { s.store.down = false })
		convey.So(s.ask(0, id, false).Outcome, convey.ShouldEqual, zlquery.OutcomeDone)
	})
	inScene(t, "a claim whose reply is lost is read back and runs once", func(s *scene) {
		id := NewID(time.Now())
		s.store.set(func() { s.store.lose = 1 })
		time.AfterFunc(300*time.Millisecond, func() {
			s.store.set(func() { s.store.lose = 0 })
		})
		convey.So(s.ask(0, id, false).Outcome, convey.ShouldEqual, zlquery.OutcomeDone)
		convey.So(s.ask(1, id, true).Outcome, convey.ShouldNotEqual, zlquery.OutcomeNotRun)
		convey.So(s.runs, convey.ShouldEqual, 1)
	})
	inScene(t, "an id of the caller's own form runs once, also long after and through another daemon", func(s *scene) {
		id := zlunit.RequestID("booking 17/b")
		convey.So(s.ask(0, id, false).Outcome, convey.ShouldEqual, zlquery.OutcomeDone)
		time.Sleep(Window - time.Second)
		convey.So(s.ask(1, id, true).Outcome, convey.ShouldNotEqual, zlquery.OutcomeNotRun)
		convey.So(s.ask(0, id, true).Outcome, convey.ShouldNotEqual, zlquery.OutcomeNotRun)
		convey.So(s.runs, convey.ShouldEqual, 1)
	})
	inScene(t, "an id from long ago or from the future is refused, not run", func(s *scene) {
		old := s.ask(0, NewID(time.Now().Add(-Window-time.Second)), false)
		convey.So(old.Reason, convey.ShouldEqual, zlquery.ReasonClaimTooOld)
		convey.So(old.Outcome, convey.ShouldEqual, zlquery.OutcomeUnknown)
		ahead := s.ask(0, NewID(time.Now().Add(ClockSkew+time.Second)), false)
		convey.So(ahead.Reason, convey.ShouldEqual, zlquery.ReasonClaimAhead)
		convey.So(s.runs, convey.ShouldEqual, 0)
	})
}

func TestRunOutlivesItsCaller(t *testing.T) {
	inScene(t, "a run goes on when its caller hangs up, and the repetition gets its answer", func(s *scene) {
		id := NewID(time.Now())
		s.guards[0].Next = runner(func(ctx context.Context, req *zlquery.Request) *zlquery.Answer {
			time.Sleep(300 * time.Millisecond)
			if ctx.Err() != nil {
				s.outcome = zlquery.OutcomeUnknown
			}
			return s.run(ctx, req)
		})
		ctx, hangUp := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer hangUp()
		s.guards[0].Answer(ctx, &zlquery.Request{
			ID:       id,
			Deadline: time.Now().Add(2 * time.Second),
		})
		a := s.ask(0, id, true)
		convey.So(a.Outcome, convey.ShouldEqual, zlquery.OutcomeDone)
		convey.So(a.Version, convey.ShouldEqual, zlunit.IndexVersion(7))
		convey.So(s.runs, convey.ShouldEqual, 1)
	})
}

// slowClaimer models a pause between the claim and the send.
type slowClaimer struct {
	Claimer
	pause time.Duration
}

func (c *slowClaimer) Claim(ctx context.Context, ask Ask) (Reply, error) {
	reply, err := c.Claimer.Claim(ctx, ask)
	time.Sleep(c.pause)
	return reply, err
}

func TestPauseAfterClaimSendsNothing(t *testing.T) {
	inScene(t, "a pause after the claim sends nothing", func(s *scene) {
		id := NewID(time.Now())
		s.guards[0].Claimer = &slowClaimer{
			Claimer: s.writers[0],
			pause:   time.Hour,
		}
		a := s.ask(0, id, false)
		if a.Outcome != zlquery.OutcomeNotRun || s.runs != 0 {
			t.Fatalf("got %+v and %d runs, want not run", a, s.runs)
		}
	})
}

// TestFullLogIsArchivedAndForgotten fills one segment's head many times over
// and lets it grow old.
func TestFullLogIsArchivedAndForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1)
		w := newWriters(store)
		var first zlunit.RequestID
		for round := range 30 {
			claimMany(t, w, 200)
			if round == 0 {
				first = sameSegment(0)
				claimOne(t, w, first, VerdictFresh)
			}
		}
		claimOne(t, w, first, VerdictHeld)
		s := &w.writers[SegmentOf(first)].segment
		if len(s.head.Archives) < 2 {
			t.Fatalf("%d archives, want several", len(s.head.Archives))
		}
		w.Close()

		again := &Writers{
			Store: store,
			Timer: &zltimer.Service{},
		}
		again.Run()
		defer again.Close()
		claimOne(t, again, first, VerdictHeld)
		time.Sleep(Window + 2*memory)
		claimOne(t, again, first, VerdictTooOld)
		// The first claim may have to move the head's records, which are all
		// too old, to an archive that a later one drops; each removes only a few.
		for range 10 {
			claimOne(t, again, sameSegment(SegmentOf(first)), VerdictFresh)
			time.Sleep(writeGap)
		}
		objects := 0
		for _, o := range store.objects[SegmentOf(first)] {
			if !o.Deleted {
				objects++
			}
		}
		if objects != 1 || store.largest >= maxValue/8 {
			t.Fatalf("%d objects left, largest value %d bytes", objects, store.largest)
		}
	})
}

func sameSegment(s Segment) zlunit.RequestID {
	for {
		id := NewID(time.Now())
		if SegmentOf(id) == s {
			return id
		}
	}
}

func claimMany(t *testing.T, w *Writers, n int) {
	t.Helper()
	s := Segment(0)
	done := make(chan struct{})
	for range n {
		id := sameSegment(s)
		go func() {
			claimOne(t, w, id, VerdictFresh)
			done <- struct{}{}
		}()
	}
	for range n {
		<-done
	}
}

func claimOne(t *testing.T, w *Writers, id zlunit.RequestID, want Verdict) {
	t.Helper()
	reply, err := w.Claim(context.Background(), Ask{
		ID:     id,
		Nonce:  Nonce(time.Now().UnixNano()),
		Holder: "a",
	})
	if err != nil || reply.Verdict != want {
		t.Errorf("claim of %s: %v, %v; want %v", id, reply, err, want)
	}
}

// TestReleaseBeforeTheClaim has an attempt give up before its ask is decided,
// in the same write or an earlier one: the id stays free.
func TestReleaseBeforeTheClaim(t *testing.T) {
	for _, wait := range []time.Duration{time.Millisecond, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			w := newWriters(newFakeStore(1))
			defer w.Close()
			id := sameSegment(3)
			// The writes that follow wait for the gap, and share one if they can.
			claimOne(t, w, sameSegment(3), VerdictFresh)
			go func() {
				_ = w.Record(context.Background(), Outcome{
					ID:    id,
					Nonce: 5,
					State: StateNotRun,
				})
			}()
			time.Sleep(wait)
			late, _ := w.Claim(context.Background(), Ask{
				ID:    id,
				Nonce: 5,
			})
			next, err := w.Claim(context.Background(), Ask{
				ID:    id,
				Nonce: 6,
			})
			if late.Verdict == VerdictFresh || next.Verdict != VerdictFresh || err != nil {
				t.Fatalf("after %v: got %v, then %v, %v; want held, then fresh", wait, late, next, err)
			}
		})
	}
}

func TestEndedAttemptIsNotFreshAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWriters(newFakeStore(1))
		defer w.Close()
		ask := Ask{
			ID:     NewID(time.Now()),
			Nonce:  5,
			Holder: "a",
		}
		first, _ := w.Claim(context.Background(), ask)
		_ = w.Record(context.Background(), Outcome{
			ID:    ask.ID,
			Nonce: ask.Nonce,
			State: StateNotRun,
		})
		again, err := w.Claim(context.Background(), ask)
		if first.Verdict != VerdictFresh || again.Verdict != VerdictHeld || err != nil {
			t.Fatalf("got %v, then %v, %v; want fresh, then held", first, again, err)
		}
	})
}
