package zlcapacity

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/process/zlload"
	"zinnialock/io/request/zlfront"
)

// Queries sends rate queries a second and returns the processor time of all
// daemons per query, in seconds. It fails if a query is not answered
// completely.
func (m *Meter) Queries(ctx context.Context, rate float64, duration time.Duration) (float64, error) {
	load := &zlload.Load{
		Rate:     rate,
		Duration: duration,
		Seed:     1,
		Mix: []zlload.QueryShape{
			{
				Service:  ServiceName,
				Kind:     "capacity",
				Weight:   1,
				Deadline: 5 * time.Second,
			},
		},
	}
	for _, p := range m.Stage.Places {
		load.Targets = append(load.Targets, p.Caller)
	}
	before, err := m.readCosts(ctx, m.Stage.Places, false)
	if err != nil {
		return 0, err
	}
	summary, _, err := load.Run(ctx)
	if err != nil {
		return 0, err
	}
	after, err := m.readCosts(ctx, m.Stage.Places, false)
	if err != nil {
		return 0, err
	}
	if summary.Answered < summary.Sent || summary.CoverageMin < 1 {
		return 0, &Error{
			Op:   "queries",
			Kind: KindMeasure,
			Err:  eris.Errorf("only %d of %d queries answered, minimum coverage %v, want all with coverage 1", summary.Answered, summary.Sent, summary.CoverageMin),
		}
	}
	cpu := 0.0
	for i := range before {
		cpu += costsBetween(before[i], after[i]).cpu
	}
	return cpu / float64(summary.Answered), nil
}

// InFlight measures the live heap of all daemons together, in bytes, while n
// queries wait for their upstreams. It fails if another number is in flight.
func (m *Meter) InFlight(ctx context.Context, n int) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range n {
		place := m.Stage.Places[i%len(m.Stage.Places)]
		go func() {
			_, _ = zlload.Post(ctx, m.HTTP, place.Caller, &zlfront.Request{
				RequestID:  zlunit.RequestID(fmt.Sprintf("flight-%d", i)),
				Service:    ServiceName,
				Kind:       "capacity",
				Text:       "in flight",
				DeadlineMs: (20 * time.Second).Milliseconds(),
			})
		}()
	}
	time.Sleep(settleTime)
	costs, err := m.readCosts(ctx, m.Stage.Places, true)
	if err != nil {
		return 0, err
	}
	heap, inFlight := 0.0, int64(0)
	for _, c := range costs {
		heap += float64(c.HeapBytes)
		inFlight += c.InFlight
	}
	if inFlight != int64(n) {
		return 0, &Error{
			Op:   "inFlight",
			Kind: KindMeasure,
			Err:  eris.Errorf("%d queries are in flight, want %d", inFlight, n),
		}
	}
	return heap, nil
}
