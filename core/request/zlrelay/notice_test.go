package zlrelay

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
)

// noticing is a Sender whose replicas answer with a notice.
type noticing struct {
	reply func(e *zlregistry.Entry) Reply

	mu    sync.Mutex
	sends map[zlunit.Upstream][]time.Time
}

func (s *noticing) Send(ctx context.Context, e *zlregistry.Entry, c *Call) Reply {
	if !c.Start() {
		return &NotRun{
			Reason: zldecision.ReasonUnreached,
		}
	}
	s.mu.Lock()
	if s.sends == nil {
		s.sends = map[zlunit.Upstream][]time.Time{}
	}
	s.sends[e.ID] = append(s.sends[e.ID], time.Now())
	s.mu.Unlock()
	sleep(ctx, time.Millisecond)
	return s.reply(e)
}

func turnAway(wait time.Duration) Reply {
	return &NotRun{
		Notice: Notice{
			Backoff: wait,
		},
		Reason:     zldecision.ReasonRefused,
		Arrived:    true,
		RetryAfter: wait,
	}
}

// Replays a service all of whose replicas turn the VM away for 3 s, at 100 requests a
// second: each replica gets at most two requests in that time, and the callers are
// refused at once with the time at which the first replica may be asked again.
func TestAllReplicasTurnAway(t *testing.T) {
	const wait = 3 * time.Second
	for _, path := range []string{"/one/x", "/all/x"} {
		synctest.Test(t, func(t *testing.T) {
			s := &noticing{
				reply: func(*zlregistry.Entry) Reply {
					return turnAway(wait)
				},
			}
			r := newTestRelay(s, singleRoute(true, 2), scatterRoute("all", []zlunit.Service{"s0", "s1"}, 100*time.Millisecond, 1, 1))
			began := time.Now()
			for time.Since(began) < wait {
				asked := time.Now()
				answer := r.Serve(context.Background(), request(path))
				a, ok := answer.(*Refused)
				// The first requests learn of the refusals; one that lost a shard while
				// the other still ran is not refused.
				if took := time.Since(asked); took > 30*time.Millisecond || (!ok && time.Since(began) > 100*time.Millisecond) {
					t.Fatalf("%s: got answer %+v after %v, want a refusal at once", path, answer, took)
				}
				left := wait - time.Since(began)
				if time.Since(began) > 100*time.Millisecond && a.RetryAfter < left-10*time.Millisecond {
					t.Fatalf("%s: got Retry-After %v, but no replica may be asked for %v", path, a.RetryAfter, left)
				}
				time.Sleep(10 * time.Millisecond)
			}
			r.Wait()
			for id, list := range s.sends {
				late := 0
				for _, at := range list {
					if at.Sub(list[0]) > 500*time.Millisecond && at.Sub(list[0]) < wait {
						late++
					}
				}
				if late > 2 {
					t.Errorf("%s: %s got %d requests between 0.5 s and %v after its refusal, want 2 at most", path, id, late, wait)
				}
			}
		})
	}
}

// A replica that leaves says so in good answers and in errors; requests are served
// elsewhere, and the replica gets no other one.
func TestLeavingIsTakenFromAnyAnswer(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		synctest.Test(t, func(t *testing.T) {
			s := &noticing{
				reply: func(e *zlregistry.Entry) Reply {
					resp := &Response{
						Status:    http.StatusOK,
						Signature: string(e.ID),
					}
					if e.ID == "s0-0" {
						resp.Status = status
						resp.Leaving = true
					}
					return resp
				},
			}
			r := newTestRelay(s, singleRoute(true, 2))
			r.Placer.Random = func() float64 {
				return 0
			}
			for range 50 {
				if a, ok := r.Serve(context.Background(), request("/one/x")).(*Served); !ok || a.Response.Status != http.StatusOK {
					t.Fatalf("status %d: got answer %+v, want one that was served", status, a)
				}
				time.Sleep(50 * time.Millisecond)
			}
			r.Wait()
			if n := len(s.sends["s0-0"]); n != 1 {
				t.Errorf("status %d: the leaving replica got %d requests, want only the first", status, n)
			}
		})
	}
}
