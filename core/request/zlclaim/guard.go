package zlclaim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/request/zltrace"
)

// Answerer runs a request and returns its answer.
type Answerer interface {
	Answer(ctx context.Context, req *zlquery.Request) *zlquery.Answer
}

// AnswerFetcher fetches the answer that another daemon gave to an earlier attempt.
// It returns nil if that daemon cannot be reached or no longer has the answer.
type AnswerFetcher interface {
	FetchAnswer(ctx context.Context, holder zlunit.VM, ref Ref) *zlquery.Answer
}

// Counter counts events, such as refusals, by reason.
type Counter interface {
	Count(event string, reason zlquery.Reason)
}

const (
	// fetchTimeout bounds the wait for the answer of an earlier attempt.
	fetchTimeout = 100 * time.Millisecond
	// storeRetryAfter is the RetryAfter of an answer after the store failed.
	storeRetryAfter = time.Second
	// releaseRetryAfter is the least RetryAfter of an answer to a request that
	// did not run. The outcome has to be in the log before the id can be
	// claimed again.
	releaseRetryAfter = 200 * time.Millisecond
	// heldRetryAfter is the RetryAfter of an answer while an earlier attempt
	// may still run.
	heldRetryAfter = 500 * time.Millisecond
)

// Guard wraps an Answerer and passes each non-idempotent request on at most
// once. The exported fields must be set before Run; Answer may be called
// concurrently.
type Guard struct {
	// Self is the VM of this daemon.
	Self zlunit.VM
	// Next runs the requests.
	Next Answerer
	// Claimer stores the claims.
	Claimer Claimer
	// AnswerFetcher fetches answers of other daemons.
	AnswerFetcher AnswerFetcher
	// Timer is the clock.
	Timer *zltimer.Service
	// Counter counts events such as refusals and lost outcomes.
	Counter Counter
	// AnswerCache caches the answers of this daemon.
	AnswerCache *AnswerCache
	// Traces, if not nil, receives a trace of each claim.
	Traces zltrace.Sink

	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

// Run prepares the guard for Answer. It must be called once, before any other
// method; Close ends it.
func (g *Guard) Run() {
	g.ctx, g.cancel = context.WithCancel(context.Background())
}

// Close waits until the outcomes of ended attempts are in the log, but not
// longer than ctx. The outcome of an attempt that ends later is lost.
func (g *Guard) Close(ctx context.Context) {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	stop := context.AfterFunc(ctx, g.cancel)
	defer stop()
	g.wg.Wait()
	g.cancel()
}

// Answer runs req, or returns the outcome of an earlier attempt or a refusal.
func (g *Guard) Answer(ctx context.Context, req *zlquery.Request) *zlquery.Answer {
	if req.Idempotent {
		return g.unknownIfRetry(req, g.Next.Answer(ctx, req))
	}
	if a := g.AnswerCache.Get(RefOf(req)); a != nil {
		return a
	}
	claimReq := ClaimRequest{
		ID:     req.ID,
		Nonce:  Nonce(rand.Uint64()),
		Holder: g.Self,
	}
	start := g.Timer.Now()
	validUntil := start.Add(g.claimDuration(req))
	// The claim and the run continue if the caller disconnects: the caller
	// sends the request again and then gets the answer of this run.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(g.ctx, cancel)
	defer stop()
	reply, err := g.claim(ctx, claimReq, validUntil)
	took := g.Timer.Now().Sub(start)
	a := g.handleReply(ctx, req, claimReq, validUntil, reply, err)
	g.trace(req, a, start, took)
	return a
}

// handleReply runs, refuses or answers the request according to the reply to
// its claim.
func (g *Guard) handleReply(ctx context.Context, req *zlquery.Request, claimReq ClaimRequest, validUntil time.Time, reply Reply, err error) *zlquery.Answer {
	if err != nil {
		g.record(claimReq, StateNotRun)
		return g.unknownIfRetry(req, g.refuse(req, zlquery.OutcomeNotRun, zlquery.ReasonClaimStore, storeRetryAfter))
	}
	switch reply.Verdict {
	case VerdictGranted:
		return g.run(ctx, req, claimReq, validUntil)
	case VerdictDone:
		if a := g.fetchAnswer(ctx, req, reply.Holder); a != nil {
			return a
		}
		return g.refuse(req, zlquery.OutcomeDone, zlquery.ReasonClaimed, 0)
	case VerdictTooOld:
		return g.refuse(req, zlquery.OutcomeUnknown, zlquery.ReasonClaimTooOld, 0)
	case VerdictAhead:
		return g.unknownIfRetry(req, g.refuse(req, zlquery.OutcomeNotRun, zlquery.ReasonClaimAhead, 0))
	default:
		// The earlier attempt may have ended although its outcome is not yet
		// in the log.
		if a := g.fetchAnswer(ctx, req, reply.Holder); a != nil {
			return a
		}
		return g.refuse(req, zlquery.OutcomeUnknown, zlquery.ReasonClaimed, heldRetryAfter)
	}
}

// claimDuration returns how long to wait for a claim of req, and how long after
// its start the claim may be acted upon.
func (g *Guard) claimDuration(req *zlquery.Request) time.Duration {
	if req.Deadline.IsZero() {
		return claimTimeout
	}
	return min(claimTimeout, req.Deadline.Sub(g.Timer.Now()))
}

func (g *Guard) claim(ctx context.Context, claimReq ClaimRequest, validUntil time.Time) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, validUntil.Sub(g.Timer.Now()))
	defer cancel()
	return g.Claimer.Claim(ctx, claimReq)
}

// run runs a request whose claim was granted. If the process was paused for so
// long that the claim is no longer valid, nothing is sent.
func (g *Guard) run(ctx context.Context, req *zlquery.Request, claimReq ClaimRequest, validUntil time.Time) *zlquery.Answer {
	if !g.Timer.Now().Before(validUntil) {
		g.record(claimReq, StateNotRun)
		return g.refuse(req, zlquery.OutcomeNotRun, zlquery.ReasonDeadline, releaseRetryAfter)
	}
	a := g.Next.Answer(ctx, req)
	switch a.Outcome {
	case zlquery.OutcomeDone:
		g.AnswerCache.Add(RefOf(req), a)
		g.record(claimReq, StateDone)
	case zlquery.OutcomeNotRun:
		g.record(claimReq, StateNotRun)
		a.RetryAfter = max(a.RetryAfter, releaseRetryAfter)
	case zlquery.OutcomeUnknown:
		// The claim stays recorded, so that no daemon runs this id again.
	}
	return a
}

// record writes the outcome of an attempt to the log in the background. Only
// the attempt itself records its outcome, so the order of these writes does not
// matter.
func (g *Guard) record(claimReq ClaimRequest, state State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		g.Counter.Count("outcomeLost", zlquery.ReasonStopping)
		return
	}
	g.wg.Go(func() {
		ctx, cancel := context.WithTimeout(g.ctx, outcomeTimeout)
		defer cancel()
		err := g.Claimer.Record(ctx, Outcome{
			ID:    claimReq.ID,
			Nonce: claimReq.Nonce,
			State: state,
		})
		if err != nil {
			g.Counter.Count("outcomeLost", zlquery.ReasonClaimStore)
		}
	})
}

// fetchAnswer returns the answer of an earlier attempt, which the daemon holder
// made, or nil.
func (g *Guard) fetchAnswer(ctx context.Context, req *zlquery.Request, holder zlunit.VM) *zlquery.Answer {
	if holder == g.Self {
		return g.AnswerCache.Get(RefOf(req))
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	a := g.AnswerFetcher.FetchAnswer(ctx, holder, RefOf(req))
	if a == nil || a.ID != req.ID {
		return nil
	}
	return a
}

// unknownIfRetry turns the outcome "not run" of a retry into "unknown". The
// outcome is only about this attempt, and an earlier one of the same request
// may have run.
func (g *Guard) unknownIfRetry(req *zlquery.Request, a *zlquery.Answer) *zlquery.Answer {
	if req.Retry && a.Outcome == zlquery.OutcomeNotRun {
		a.Outcome = zlquery.OutcomeUnknown
		g.Counter.Count("unproved", a.Reason)
	}
	return a
}

// trace records the duration of the claim and the outcome of the request.
func (g *Guard) trace(req *zlquery.Request, a *zlquery.Answer, start time.Time, took time.Duration) {
	if g.Traces == nil {
		return
	}
	g.Traces.Keep(&zltrace.Trace{
		Request: req.ID,
		Service: req.Service,
		Kind:    req.Kind,
		Start:   start,
		Took:    g.Timer.Now().Sub(start),
		Decisions: []zltrace.Decision{
			{
				At:     took,
				Kind:   zltrace.KindClaim,
				Reason: a.Reason,
				Wait:   took,
			},
		},
		Outcome:  a.Outcome,
		Reason:   a.Reason,
		Version:  a.Version,
		Coverage: a.Coverage,
		Complete: a.Complete,
	})
}

// refuse counts a refusal and returns the answer for it.
func (g *Guard) refuse(req *zlquery.Request, outcome zlquery.Outcome, reason zlquery.Reason, after time.Duration) *zlquery.Answer {
	g.Counter.Count("refusal", reason)
	return &zlquery.Answer{
		ID:         req.ID,
		Outcome:    outcome,
		Reason:     reason,
		RetryAfter: after,
	}
}
