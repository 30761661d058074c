// Package zlload is an open-loop load generator and checker. It sends queries to
// daemons at a fixed rate, however long the answers take, and returns latencies,
// counts and violations of the invariants. Answers are checked on their own and
// against the counts that the upstream stand-ins keep. Answers of real upstreams
// cannot be checked this way.
package zlload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlclaim"
)

// QueryShape is one kind of query in the mix.
type QueryShape struct {
	Service zlunit.Service
	Kind    zlunit.QueryKind
	// Weight is the relative frequency of this shape in the mix.
	Weight   int
	Deadline time.Duration
	// MinCoverage is the minimum coverage that the query requires, from 0 to 1.
	MinCoverage zlunit.Coverage
}

// Load describes one run. The fields must be set before Run and not change
// during it; NonIdempotentShare, HangUpShare, Checker, Auditor and Progress are
// optional.
type Load struct {
	// Targets are the daemons' caller addresses, used round-robin.
	Targets []string
	// Rate is in queries per second.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Mix      []QueryShape
	// NonIdempotentShare is the fraction of queries that are not idempotent, from 0 to 1.
	NonIdempotentShare float64
	// HangUpShare is the fraction of non-idempotent queries whose caller hangs up
	// early and retries through another daemon, from 0 to 1.
	HangUpShare float64
	// Checker checks each answer; nil skips these checks.
	Checker *Checker
	// Auditor reads the upstreams' counts before and after the run; nil skips
	// the comparison with them.
	Auditor *Auditor
	// Progress is called about once a second from another goroutine; it may be
	// nil.
	Progress func(Summary)
}

// Run sends the whole load, waits for the last answer and returns the summary
// and one point for each answer. The error is non-nil only if the upstreams'
// counts cannot be read; violations are part of the summary.
func (l *Load) Run(ctx context.Context) (Summary, []Point, error) {
	var before Snapshot
	if l.Auditor != nil {
		var err error
		if before, err = l.Auditor.Read(ctx); err != nil {
			return Summary{}, nil, err
		}
	}
	t := newTally()
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnsPerDaemon,
		},
	}
	defer client.CloseIdleConnections()
	stop := l.startProgress(t)
	l.send(ctx, client, t)
	stop()
	if l.Auditor != nil {
		if err := l.audit(ctx, before, t); err != nil {
			return t.snapshot(), t.points, err
		}
	}
	return t.snapshot(), t.points, nil
}

// audit reads the upstreams' counts after the run and adds the violations that
// they show.
func (l *Load) audit(ctx context.Context, before Snapshot, t *tally) error {
	after, err := l.Auditor.Read(ctx)
	if err != nil {
		return err
	}
	faults, received := after.Compare(before)
	runs, err := l.Auditor.Runs(ctx, t.entriesToCheck())
	if err != nil {
		return err
	}
	faults = append(faults, t.checkRuns(runs)...)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addViolations(faults)
	t.received = received
	return nil
}

// maxHangUpDelay is the longest time after which an impatient caller hangs up.
const maxHangUpDelay = 20 * time.Millisecond

const maxIdleConnsPerDaemon = 512

// startProgress calls Progress about once a second until the returned function
// is called.
func (l *Load) startProgress(t *tally) (stop func()) {
	if l.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				l.Progress(t.snapshot())
			case <-done:
				return
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// send starts each query at its intended time and waits until all have ended.
func (l *Load) send(ctx context.Context, client *http.Client, t *tally) {
	random := rand.New(rand.NewPCG(l.Seed, 7))
	total := int(l.Rate * l.Duration.Seconds())
	gap := float64(time.Second) / l.Rate
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range total {
		intended := t.start.Add(time.Duration(float64(i) * gap))
		if wait := time.Until(intended); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return
			}
		}
		c := &caller{
			load:          l,
			client:        client,
			tally:         t,
			shape:         l.pickShape(random),
			nonIdempotent: random.Float64() < l.NonIdempotentShare,
			number:        i,
			intended:      intended,
		}
		if hangUp := random.Float64() < l.HangUpShare; hangUp && c.nonIdempotent {
			c.hangUpAfter = time.Duration(random.Int64N(int64(maxHangUpDelay))) + time.Millisecond
		}
		wg.Go(c.run)
	}
}

// pickShape draws a shape with a probability in proportion to its weight.
func (l *Load) pickShape(random *rand.Rand) QueryShape {
	total := 0
	for _, s := range l.Mix {
		total += s.Weight
	}
	n := random.IntN(total)
	for _, s := range l.Mix {
		n -= s.Weight
		if n < 0 {
			return s
		}
	}
	return l.Mix[0]
}

// id returns a request ID. Every second non-idempotent request gets an ID that
// contains its creation time; the others get IDs in the caller's own format.
func (c *caller) id() zlunit.RequestID {
	if c.nonIdempotent && c.number%2 == 0 {
		return zlclaim.NewID(time.Now())
	}
	return zlunit.RequestID(fmt.Sprintf("load-%d-%d-%d", c.load.Seed, c.tally.start.UnixNano(), c.number))
}
