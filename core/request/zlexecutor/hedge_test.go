package zlexecutor_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlexecutor"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlview"
)

func TestHedgeIsRefusedByAColdUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given an upstream that has served nothing yet", t, func() {
			views := &zlview.CurrentView{}
			views.Store(testView())
			views.Confirm(time.Now())
			f := &fakeUpstreams{
				random: rand.New(rand.NewPCG(1, 1)),
				counts: map[zlquery.Reason]int{},
			}
			e := &zlexecutor.Executor{
				Self:    "vm",
				Timer:   &zltimer.Service{},
				Views:   views,
				Fetcher: f,
				Counter: f,
			}
			convey.Reset(e.Wait)
			id := zlunit.SubRequestID(0)
			serveOne := func(hedge bool) zlquery.Result {
				out := make(chan zlquery.Result, 1)
				id++
				e.Serve(context.Background(), &zlquery.Batch{
					Query:      "q",
					Idempotent: true,
					TimeLeft:   time.Second,
					SubRequests: []zlquery.SubRequest{
						{
							ID:       id,
							Upstream: "u-0-0",
							Version:  1,
							Hedge:    hedge,
						},
					},
				}, func(r zlquery.Reply) {
					out <- r.Result
				})
				return <-out
			}
			convey.So(serveOne(true), convey.ShouldResemble, zlquery.NotRun{
				Reason: zlquery.ReasonColdBudget,
			})

			convey.Convey("it accepts hedges once it is warm", func() {
				for range 200 {
					serveOne(false)
				}
				convey.So(serveOne(true), convey.ShouldHaveSameTypeAs, zlquery.Done{})
			})
		})
	})
}
