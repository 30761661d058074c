package zlrelay

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
)

// slowFailure is a Sender whose replicas respond with 500 after a delay.
type slowFailure struct {
	delay time.Duration
}

func (s *slowFailure) Send(ctx context.Context, _ *zlregistry.Entry, c *Call) Reply {
	if !c.Start() || sleep(ctx, s.delay) == outcomeCancelled {
		return &Unknown{}
	}
	return &Response{
		Status:    http.StatusInternalServerError,
		Signature: "s",
	}
}

// A replica's error that arrives after the hedge time, when no attempt is left, is the
// caller's answer at once. It was held until the route's timeout, since the hedge had
// moved the next placement to the deadline.
func TestErrorOfTheLastAttemptIsDeliveredAtOnce(t *testing.T) {
	for name, route := range map[string]func(int) (path string, relay *Relay){
		"single": func(attempts int) (string, *Relay) {
			return "/one/x", newTestRelay(&slowFailure{
				delay: 60 * time.Millisecond,
			}, singleRoute(true, attempts))
		},
		"scattered": func(attempts int) (string, *Relay) {
			route := scatterRoute("all", []zlunit.Service{"s0", "s1"}, 100*time.Millisecond, 1, 1)
			route.Attempts = attempts
			return "/all/x", newTestRelay(&slowFailure{
				delay: 60 * time.Millisecond,
			}, route)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				path, r := route(1)
				began := time.Now()
				a := r.Serve(context.Background(), request(path))
				took := time.Since(began)
				r.Wait()
				if took > 70*time.Millisecond {
					t.Errorf("got answer %+v after %v, want it when the replica answers after 60 ms", a, took)
				}
				if served, ok := a.(*Served); name == "single" && (!ok || served.Response.Status != http.StatusInternalServerError) {
					t.Errorf("got answer %+v, want the replica's error", a)
				}
			})
		})
	}
}
