package zlload

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"zinnialock/core/request/zlquery"
	"zinnialock/io/request/zlfront"
)

const (
	// transitAllowance is how long after its deadline a caller still waits for an
	// answer that is in transit.
	transitAllowance = 2 * time.Second
	// maxAttempts limits how often a caller sends one request. Attempts that
	// could not connect to the daemon do not count.
	maxAttempts = 4
	// defaultRetryDelay applies if the daemon gave no retry-after time.
	defaultRetryDelay = 50 * time.Millisecond
)

// caller sends one request and retries it through the next daemon if needed.
type caller struct {
	load          *Load
	client        *http.Client
	tally         *tally
	shape         QueryShape
	nonIdempotent bool
	number        int
	intended      time.Time
	// hangUpAfter is when the caller cancels its first attempt; 0 means never.
	hangUpAfter time.Duration
}

// Attempt is the result of one attempt, as the caller observed it.
type Attempt struct {
	// Target is the daemon's caller address.
	Target string
	// Answer is nil if the attempt failed; Err then holds the reason.
	Answer *zlfront.Answer
	Err    error
	// HungUp is whether the caller cancelled the attempt before the answer.
	HungUp bool
}

// ran returns whether the request ran, according to the daemon's reply.
func (a *Attempt) ran() zlfront.Ran {
	switch {
	case a.Answer == nil:
		return zlfront.RanUnknown
	case a.Answer.Refusal != nil:
		return a.Answer.Refusal.Ran
	default:
		return zlfront.RanYes
	}
}

// connectFailed reports whether the attempt failed to connect to the daemon.
func (a *Attempt) connectFailed() bool {
	var op *net.OpError
	return errors.As(a.Err, &op) && op.Op == "dial"
}

func (c *caller) run() {
	req := &zlfront.Request{
		RequestID:  c.id(),
		Service:    c.shape.Service,
		Kind:       c.shape.Kind,
		Text:       fmt.Sprintf("text-%d-%d", c.load.Seed, c.number),
		DeadlineMs: c.shape.Deadline.Milliseconds(),

		LeastCoverage: c.shape.MinCoverage,
	}
	if c.nonIdempotent {
		idempotent := false
		req.Idempotent = &idempotent
	}
	entry := &Entry{
		Request:       req,
		NonIdempotent: c.nonIdempotent,
	}
	reached := 0
	for attempt := 0; reached < maxAttempts && attempt < maxAttempts+len(c.load.Targets); attempt++ {
		a := c.attempt(req, (c.number+attempt)%len(c.load.Targets))
		entry.Attempts = append(entry.Attempts, a)
		if !c.shouldRetry(&a) {
			break
		}
		if !a.connectFailed() {
			reached++
			req.Retry = true
		}
		time.Sleep(retryDelay(&a))
	}
	var faults []string
	last := &entry.Attempts[len(entry.Attempts)-1]
	if last.Answer != nil && c.load.Checker != nil {
		faults = c.load.Checker.Check(req, last.Answer)
	}
	c.tally.add(entry, faults, time.Since(c.intended), c.intended)
}

// shouldRetry reports whether the caller sends the request again: always if it
// got no answer, and a non-idempotent request also after a refusal that does not
// confirm that it ran.
func (c *caller) shouldRetry(a *Attempt) bool {
	if a.Answer == nil {
		return true
	}
	refusal := a.Answer.Refusal
	return c.nonIdempotent && refusal != nil && refusal.Ran != zlfront.RanYes
}

// retryDelay returns the time to wait after a failed attempt.
func retryDelay(a *Attempt) time.Duration {
	if a.Answer == nil || a.Answer.Refusal.RetryAfterMs == 0 {
		return defaultRetryDelay
	}
	return time.Duration(a.Answer.Refusal.RetryAfterMs) * time.Millisecond
}

func (c *caller) attempt(req *zlfront.Request, target int) Attempt {
	ctx, cancel := context.WithTimeout(context.Background(), c.shape.Deadline+transitAllowance)
	defer cancel()
	a := Attempt{
		Target: c.load.Targets[target],
	}
	if c.hangUpAfter > 0 && !req.Retry {
		ctx, cancel = context.WithTimeout(ctx, c.hangUpAfter)
		defer cancel()
	}
	a.Answer, a.Err = Post(ctx, c.client, a.Target, req)
	a.HungUp = c.hangUpAfter > 0 && errors.Is(a.Err, context.DeadlineExceeded)
	return a
}

// Post sends one query to the daemon at target and decodes its answer, also one
// with an error status.
func Post(ctx context.Context, client *http.Client, target string, req *zlfront.Request) (*zlfront.Answer, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+zlfront.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot retry the request by itself.
	r.GetBody = nil
	resp, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	var a zlfront.Answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return nil, err
	}
	if a.Outcome != zlquery.OutcomeDone && a.Refusal == nil {
		return nil, fmt.Errorf("status %d without an answer or a refusal", resp.StatusCode)
	}
	return &a, nil
}
