package zlrelay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlsharedrate"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

// Guards against requests over an organisation's limit that reach a replica, refusals without
// advice, requests that are refused for another reason and counted all the same, second sends
// that count, forwards that are counted twice, and limits that touch others.
func TestLimitOfAnOrganisation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate = 5
		refusing := true
		sender := &noticing{
			reply: func(*zlregistry.Entry) Reply {
				if refusing {
					return &NotRun{
						Reason:  zldecision.ReasonRefused,
						Arrived: true,
					}
				}
				return &Response{
					Status: 200,
				}
			},
		}
		sent := func() (n int) {
			for _, list := range sender.sends {
				n += len(list)
			}
			return n
		}
		r := newTestRelay(sender, singleRoute(true, 2))
		list := organisationsOf("limited", "free")
		list[0].Rate, list[0].Burst = rate, rate
		r.Registry.SetTable(r.Registry.View().Table.WithOrganisations(list), time.Now(), time.Time{})
		done := make(chan struct{})
		defer close(done)
		self := zlsharedrate.Member{
			VM: "own",
		}
		r.Limiter = &zlsharedrate.Limiter{
			Self:  self,
			Timer: r.Timer,
			Table: func() *zltable.Table {
				return r.Registry.View().KeyTable()
			},
			Send: func(zlsharedrate.Member, *zlsharedrate.Message) {
				t.Error("got a message of the only VM")
			},
			Done: done,
		}
		go r.Limiter.Run()
		serve := func(name zlunit.Organisation) (served bool, reason zldecision.Reason, retryAfter time.Duration) {
			req := request("/one/x")
			d := zltable.DigestKey(string(name))
			req.Key = &d
			switch a := r.Serve(context.Background(), req).(type) {
			case *Served:
				return true, "", 0
			case *Refused:
				return false, a.Reason, a.RetryAfter
			default:
				return false, "", 0
			}
		}
		if _, reason, retryAfter := serve("limited"); reason != zldecision.ReasonNoKeeper || retryAfter <= 0 {
			t.Errorf("got reason %q, Retry-After %v without a VM count, want that no keeper is known", reason, retryAfter)
		}
		r.Limiter.SetMembers([]zlsharedrate.Member{self}, true)
		time.Sleep(time.Minute)
		for range 2 * rate {
			if _, reason, _ := serve("limited"); reason == "" || reason == zldecision.ReasonOrganisationLimit {
				t.Errorf("got reason %q, want that of the replicas", reason)
			}
		}
		if sent() < 2*rate+1 {
			t.Errorf("got %d sends, want second ones", sent())
		}
		refusing = false
		began, before := time.Now(), sent()
		granted := 0
		for range 4 * rate {
			served, reason, retryAfter := serve("limited")
			if served {
				granted++
			} else if reason != zldecision.ReasonOrganisationLimit || retryAfter < time.Millisecond || retryAfter > 6*time.Second {
				t.Fatalf("got reason %q, Retry-After %v", reason, retryAfter)
			}
		}
		most := int(rate*(1+time.Since(began).Seconds())) + 1
		if granted < rate || granted > most || sent()-before != granted {
			t.Errorf("got %d requests served, %d sent, want %d to %d", granted, sent()-before, rate, most)
		}
		if served, reason, _ := serve("free"); !served {
			t.Errorf("an organisation without a limit was refused: %s", reason)
		}
		req := request("/one/x")
		req.Organisation = "limited"
		forward := &Forward{
			Request: req,
			Origin:  "other",
			Version: 1,
			Parts: []ForwardPart{{
				Service: "s0",
			}},
		}
		if _, ok := r.ServeForward(context.Background(), forward).(*Relayed); !ok {
			t.Error("a forward was declined")
		}
		r.Wait()
	})
}
