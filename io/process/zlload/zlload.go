// Package zlload sends queries at a fixed rate, whatever the answers take, and
// checks each answer by itself and against the upstreams' own counts.
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

// Shape is one kind of query in the mix.
type Shape struct {
	Service  zlunit.Service
	Kind     zlunit.QueryKind
	Weight   int
	Deadline time.Duration
	// Least is the least coverage that the query asks for.
	Least zlunit.Coverage
}

// Load is one run. All fields must be set before Run, but those said to be
// optional.
type Load struct {
	// Targets are the daemons' caller addresses, taken in turn.
	Targets []string
	// Rate is in queries per second.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Mix      []Shape
	// OnceShare is the share of queries that are not idempotent, from 0 to 1.
	OnceShare float64
	// Impatient is the share of those whose caller hangs up early and sends the
	// request again through another daemon, from 0 to 1.
	Impatient float64
	Checker   *Checker
	// Auditor, if set, reads the upstreams' counts before and after.
	Auditor *Auditor
	// Progress, if set, is called about each second.
	Progress func(Summary)
}

// Run sends the whole load, waits for the last answer and checks everything.
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
			MaxIdleConnsPerHost: maxIdle,
		},
	}
	defer client.CloseIdleConnections()
	stop := l.report(t)
	l.send(ctx, client, t)
	stop()
	if l.Auditor != nil {
		if err := l.audit(ctx, before, t); err != nil {
			return t.result(), t.points, err
		}
	}
	return t.result(), t.points, nil
}

// audit adds what the upstreams' counts show.
func (l *Load) audit(ctx context.Context, before Snapshot, t *tally) error {
	after, err := l.Auditor.Read(ctx)
	if err != nil {
		return err
	}
	faults, received := after.Since(before)
	runs, err := l.Auditor.Runs(ctx, t.suspects())
	if err != nil {
		return err
	}
	faults = append(faults, t.judge(runs)...)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.violate(faults)
	t.received = received
	return nil
}

// maxPatience bounds the patience of an impatient caller.
const maxPatience = 20 * time.Millisecond

// maxIdle is how many idle connections are kept for each daemon.
const maxIdle = 512

func (l *Load) report(t *tally) (stop func()) {
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
				l.Progress(t.result())
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

// send paces the queries by their intended times and waits for all of them.
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
			load:     l,
			client:   client,
			tally:    t,
			shape:    l.pick(random),
			once:     random.Float64() < l.OnceShare,
			number:   i,
			intended: intended,
		}
		if hangUp := random.Float64() < l.Impatient; hangUp && c.once {
			c.patience = time.Duration(random.Int64N(int64(maxPatience))) + time.Millisecond
		}
		wg.Go(c.run)
	}
}

func (l *Load) pick(random *rand.Rand) Shape {
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

// id makes a request id. Of the requests that are not idempotent every other
// one has an id that carries its time, the rest ids of the caller's own form.
func (c *caller) id() zlunit.RequestID {
	if c.once && c.number%2 == 0 {
		return zlclaim.NewID(time.Now())
	}
	return zlunit.RequestID(fmt.Sprintf("load-%d-%d-%d", c.load.Seed, c.tally.start.UnixNano(), c.number))
}
