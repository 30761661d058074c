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

// testDaemons is two daemons that share one store. The field runs counts the
// requests that ran; outcome is the outcome of the next run.
type testDaemons struct {
	store   *fakeStore
	writers [2]*Writers
	guards  [2]*Guard
	runs    int
	outcome zlquery.Outcome
}

func newTestDaemons() *testDaemons {
	s := &testDaemons{
		store:   newFakeStore(1),
		outcome: zlquery.OutcomeDone,
	}
	for i := range s.guards {
		s.writers[i] = newWriters(s.store)
		s.guards[i] = newGuard(zlunit.VM([]string{"a", "b"}[i]), s.writers[i], answererFunc(s.run))
	}
	return s
}

func (s *testDaemons) run(_ context.Context, req *zlquery.Request) *zlquery.Answer {
	if s.outcome != zlquery.OutcomeNotRun {
		s.runs++
	}
	return &zlquery.Answer{
		ID:      req.ID,
		Outcome: s.outcome,
		Version: 7,
	}
}

// answer sends a request to one of the daemons.
func (s *testDaemons) answer(daemon int, id zlunit.RequestID, retry bool) *zlquery.Answer {
	return s.guards[daemon].Answer(context.Background(), &zlquery.Request{
		ID:       id,
		Retry:    retry,
		Deadline: time.Now().Add(2 * time.Second),
	})
}

func (s *testDaemons) close() {
	for i := range s.guards {
		s.guards[i].Close(context.Background())
		s.writers[i].Close()
	}
}

// withTestDaemons runs f with two daemons in virtual time.
func withTestDaemons(t *testing.T, given string, f func(s *testDaemons)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newTestDaemons()
		defer s.close()
		convey.Convey("Given two daemons on one store, "+given, t, func() {
			f(s)
		})
	})
}

func TestGuardOutcomes(t *testing.T) {
	withTestDaemons(t, "a request that ran does not run again, and the daemon that ran it returns its answer", func(s *testDaemons) {
		id := NewID(time.Now())
		convey.So(s.answer(0, id, false).Outcome, convey.ShouldEqual, zlquery.OutcomeDone)
		time.Sleep(time.Second)
		convey.So(s.answer(0, id, true).Version, convey.ShouldEqual, zlunit.IndexVersion(7))
		other := s.answer(1, id, true)
		convey.So(other.Outcome, convey.ShouldEqual, zlquery.OutcomeDone)
		convey.So(other.Reason, convey.ShouldEqual, zlquery.ReasonClaimed)
		convey.So(s.runs, convey.ShouldEqual, 1)
	})
	withTestDaemons(t, "a second request with the same id does not get the answer to the first", func(s *testDaemons) {
		id := NewID(time.Now())
		s.answer(0, id, false)
		a := s.guards[0].Answer(context.Background(), &zlquery.Request{
			ID:       id,
			Text:     "something else",
			Deadline: time.Now().Add(time.Second),
		})
		convey.So(a.Reason, convey.ShouldEqual, zlquery.ReasonClaimed)
		convey.So(s.runs, convey.ShouldEqual, 1)
	})
	withTestDaemons(t, "a request that is proven not to have run can run through another daemon", func(s *testDaemons) {
		id := NewID(time.Now())
		s.outcome = zlquery.OutcomeNotRun
		refused := s.answer(0, id, false)
		convey.So(refused.Outcome, convey.ShouldEqual, zlquery.OutcomeNotRun)
		time.Sleep(refused.RetryAfter)
		s.outcome = zlquery.OutcomeDone
		convey.So(s.answer(1, id, true).Outcome, convey.ShouldEqual, zlquery.OutcomeDone)
		convey.So(s.runs, convey.ShouldEqual, 1)
	})
	withTestDaemons(t, "a request with an unknown outcome stays unknown; the answer comes at once and has RetryAfter", func(s *testDaemons) {
		id := NewID(time.Now())
		s.outcome = zlquery.OutcomeUnknown
		s.answer(0, id, false)
		start := time.Now()
		a := s.answer(1, id, true)
		convey.So(a.Outcome, convey.ShouldEqual, zlquery.OutcomeUnknown)
		convey.So(a.RetryAfter, convey.ShouldBeGreaterThan, 0)
		convey.So(time.Since(start), convey.ShouldBeLessThan, 2*minWriteInterval)
		convey.So(s.runs, convey.ShouldEqual, 1)
	})
}

func TestGuardFaults(t *testing.T) {
	withTestDaemons(t, "while the store is down a first attempt is refused as not run, a retry as unknown", func(s *testDaemons) {
		s.store.set(func() { s.store.down = true })
		a := s.answer(0, NewID(time.Now()), false)
		convey.So(a.Outcome, convey.ShouldEqual, zlquery.OutcomeNotRun)
		convey.So(a.Reason, convey.ShouldEqual, zlquery.ReasonClaimStore)
		convey.So(s.answer(0, NewID(time.Now()), true).Outcome, convey.ShouldEqual, zlquery.OutcomeUnknown)
		convey.So(s.runs, convey.ShouldEqual, 0)
		s.store.set(func() { s.store.down = false })
	})
	withTestDaemons(t, "when the store stays down requests are refused at once, and run when it is back", func(s *testDaemons) {
		s.store.set(func() { s.store.down = true })
		id := newIDIn(3)
		s.answer(0, id, false)
		time.Sleep(claimTimeout)
		start := time.Now()
		convey.So(s.answer(0, newIDIn(3), false).Reason, convey.ShouldEqual, zlquery.ReasonClaimStore)
		convey.So(time.Since(start), convey.ShouldBeLessThan, 2*retryDelay+minWriteInterval)
		s.store.set(func() { s.store.down = false })
		convey.So(s.answer(0, id, false).Outcome, convey.ShouldEqual, zlquery.OutcomeDone)
	})
	withTestDaemons(t, "a claim whose write took effect without a reply is read back and the request runs once", func(s *testDaemons) {
		id := NewID(time.Now())
		s.store.set(func() { s.store.lose = 1 })
		time.AfterFunc(300*time.Millisecond, func() {
			s.store.set(func() { s.store.lose = 0 })
		})
		convey.So(s.answer(0, id, false).Outcome, convey.ShouldEqual, zlquery.OutcomeDone)
		convey.So(s.answer(1, id, true).Outcome, convey.ShouldNotEqual, zlquery.OutcomeNotRun)
		convey.So(s.runs, convey.ShouldEqual, 1)
	})
	withTestDaemons(t, "a request whose id is not a UUID runs once, also late in the window and through another daemon", func(s *testDaemons) {
		id := zlunit.RequestID("booking 17/b")
		convey.So(s.answer(0, id, false).Outcome, convey.ShouldEqual, zlquery.OutcomeDone)
		time.Sleep(Window - time.Second)
		convey.So(s.answer(1, id, true).Outcome, convey.ShouldNotEqual, zlquery.OutcomeNotRun)
		convey.So(s.answer(0, id, true).Outcome, convey.ShouldNotEqual, zlquery.OutcomeNotRun)
		convey.So(s.runs, convey.ShouldEqual, 1)
	})
	withTestDaemons(t, "a request whose id is too old or ahead of the clock is refused and does not run", func(s *testDaemons) {
		old := s.answer(0, NewID(time.Now().Add(-Window-time.Second)), false)
		convey.So(old.Reason, convey.ShouldEqual, zlquery.ReasonClaimTooOld)
		convey.So(old.Outcome, convey.ShouldEqual, zlquery.OutcomeUnknown)
		ahead := s.answer(0, NewID(time.Now().Add(ClockSkew+time.Second)), false)
		convey.So(ahead.Reason, convey.ShouldEqual, zlquery.ReasonClaimAhead)
		convey.So(s.runs, convey.ShouldEqual, 0)
	})
}

// TestRunOutlivesItsCaller guards against a run that is cancelled with its
// caller's connection: its outcome would be unknown and a retry get no answer.
func TestRunOutlivesItsCaller(t *testing.T) {
	withTestDaemons(t, "a run continues after its caller disconnects, and the retry gets its answer", func(s *testDaemons) {
		id := NewID(time.Now())
		s.guards[0].Next = answererFunc(func(ctx context.Context, req *zlquery.Request) *zlquery.Answer {
			time.Sleep(300 * time.Millisecond)
			if ctx.Err() != nil {
				s.outcome = zlquery.OutcomeUnknown
			}
			return s.run(ctx, req)
		})
		ctx, disconnect := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer disconnect()
		s.guards[0].Answer(ctx, &zlquery.Request{
			ID:       id,
			Deadline: time.Now().Add(2 * time.Second),
		})
		a := s.answer(0, id, true)
		convey.So(a.Outcome, convey.ShouldEqual, zlquery.OutcomeDone)
		convey.So(a.Version, convey.ShouldEqual, zlunit.IndexVersion(7))
		convey.So(s.runs, convey.ShouldEqual, 1)
	})
}

// slowClaimer simulates a pause of the process between the claim and the send.
type slowClaimer struct {
	Claimer
	pause time.Duration
}

func (c *slowClaimer) Claim(ctx context.Context, claimReq ClaimRequest) (Reply, error) {
	reply, err := c.Claimer.Claim(ctx, claimReq)
	time.Sleep(c.pause)
	return reply, err
}

// TestPauseAfterClaimSendsNothing guards against a request that is sent long
// after its claim, when a process resumes from a pause.
func TestPauseAfterClaimSendsNothing(t *testing.T) {
	withTestDaemons(t, "a request does not run after a pause between its claim and the send", func(s *testDaemons) {
		id := NewID(time.Now())
		s.guards[0].Claimer = &slowClaimer{
			Claimer: s.writers[0],
			pause:   time.Hour,
		}
		a := s.answer(0, id, false)
		if a.Outcome != zlquery.OutcomeNotRun || s.runs != 0 {
			t.Fatalf("got %+v and %d runs, want not run", a, s.runs)
		}
	})
}

// TestFullLogIsArchivedAndForgotten fills the head of one segment many times.
// Claims must survive the move to archives and a restart, and the archives must
// be deleted once their ids are too old to be claimed.
func TestFullLogIsArchivedAndForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1)
		w := newWriters(store)
		var first zlunit.RequestID
		for round := range 30 {
			claimMany(t, w, 200)
			if round == 0 {
				first = newIDIn(0)
				claimOne(t, w, first, VerdictGranted)
			}
		}
		claimOne(t, w, first, VerdictHeld)
		s := &w.writers[SegmentOf(first)].segment
		if len(s.head.Archives) < 2 {
			t.Fatalf("got %d archives, want at least 2", len(s.head.Archives))
		}
		w.Close()

		restarted := &Writers{
			Store: store,
			Timer: &zltimer.Service{},
		}
		restarted.Run()
		defer restarted.Close()
		claimOne(t, restarted, first, VerdictHeld)
		time.Sleep(Window + 2*extraRetention)
		claimOne(t, restarted, first, VerdictTooOld)
		// The first claim may move the head's records, which are all too old,
		// to an archive that a later claim drops. Each claim removes only a few
		// archives.
		for range 10 {
			claimOne(t, restarted, newIDIn(SegmentOf(first)), VerdictGranted)
			time.Sleep(minWriteInterval)
		}
		objects := 0
		for _, o := range store.objects[SegmentOf(first)] {
			if !o.Deleted {
				objects++
			}
		}
		if objects != 1 || store.largest >= maxValue/8 {
			t.Fatalf("got %d objects left and a largest value of %d bytes, want 1 object and less than an eighth of the limit", objects, store.largest)
		}
	})
}

// newIDIn returns a new id that belongs to segment s.
func newIDIn(s Segment) zlunit.RequestID {
	for {
		id := NewID(time.Now())
		if SegmentOf(id) == s {
			return id
		}
	}
}

// claimMany claims n new ids of segment 0 concurrently.
func claimMany(t *testing.T, w *Writers, n int) {
	t.Helper()
	s := Segment(0)
	done := make(chan struct{})
	for range n {
		id := newIDIn(s)
		go func() {
			claimOne(t, w, id, VerdictGranted)
			done <- struct{}{}
		}()
	}
	for range n {
		<-done
	}
}

// claimOne claims an id with a new nonce and checks the verdict.
func claimOne(t *testing.T, w *Writers, id zlunit.RequestID, want Verdict) {
	t.Helper()
	reply, err := w.Claim(context.Background(), ClaimRequest{
		ID:     id,
		Nonce:  Nonce(time.Now().UnixNano()),
		Holder: "a",
	})
	if err != nil || reply.Verdict != want {
		t.Errorf("claim of %s: got reply %v and error %v, want verdict %v", id, reply, err, want)
	}
}

// TestReleaseBeforeTheClaim has an attempt record "not run" before its claim request is
// decided, in the same write or an earlier one. The late request must not claim the
// id, since nothing would release it.
func TestReleaseBeforeTheClaim(t *testing.T) {
	for _, wait := range []time.Duration{time.Millisecond, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			w := newWriters(newFakeStore(1))
			defer w.Close()
			id := newIDIn(3)
			// The next writes wait for minWriteInterval and share one write if
			// they can.
			claimOne(t, w, newIDIn(3), VerdictGranted)
			go func() {
				_ = w.Record(context.Background(), Outcome{
					ID:    id,
					Nonce: 5,
					State: StateNotRun,
				})
			}()
			time.Sleep(wait)
			late, _ := w.Claim(context.Background(), ClaimRequest{
				ID:    id,
				Nonce: 5,
			})
			next, err := w.Claim(context.Background(), ClaimRequest{
				ID:    id,
				Nonce: 6,
			})
			if late.Verdict == VerdictGranted || next.Verdict != VerdictGranted || err != nil {
				t.Fatalf("outcome %v before the claim: got late reply %v, then reply %v and error %v; want held, then fresh", wait, late, next, err)
			}
		})
	}
}

// TestRepeatedClaimAfterNotRunIsHeld guards against a repeated claim request that is
// granted the id a second time after its attempt ended as not run.
func TestRepeatedClaimAfterNotRunIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWriters(newFakeStore(1))
		defer w.Close()
		claimReq := ClaimRequest{
			ID:     NewID(time.Now()),
			Nonce:  5,
			Holder: "a",
		}
		first, _ := w.Claim(context.Background(), claimReq)
		_ = w.Record(context.Background(), Outcome{
			ID:    claimReq.ID,
			Nonce: claimReq.Nonce,
			State: StateNotRun,
		})
		repeated, err := w.Claim(context.Background(), claimReq)
		if first.Verdict != VerdictGranted || repeated.Verdict != VerdictHeld || err != nil {
			t.Fatalf("got first reply %v, then reply %v and error %v; want fresh, then held", first, repeated, err)
		}
	})
}
