package zldaemon

import (
	"context"
	"sync/atomic"
	"testing"

	"zinnialock/core/request/zlquery"
)

// fixedAnswerer answers each query.
type fixedAnswerer struct{}

func (fixedAnswerer) Answer(context.Context, *zlquery.Request) *zlquery.Answer {
	return &zlquery.Answer{
		Outcome: zlquery.OutcomeDone,
	}
}

// Guards against a query whose body comes late in a planned stop and that is cut at its
// end: it is refused, and not run is said only if that is certain.
func TestQueryReadLateInAStopIsRefused(t *testing.T) {
	s := &stoppingAnswerer{
		Answerer: fixedAnswerer{},
		closed:   &atomic.Bool{},
	}
	for _, c := range []struct {
		closed bool
		retry  bool
		want   zlquery.Outcome
	}{
		{false, false, zlquery.OutcomeDone},
		{true, false, zlquery.OutcomeNotRun},
		{true, true, zlquery.OutcomeUnknown},
	} {
		s.closed.Store(c.closed)
		a := s.Answer(context.Background(), &zlquery.Request{
			Retry: c.retry,
		})
		if a.Outcome != c.want {
			t.Errorf("%+v: got outcome %v", c, a.Outcome)
		}
	}
}
