package zlupcall_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/request/zlquery"
)

// TestUnconfirmedEndKeepsItsPlace gives up a request at an upstream that is
// stopped for longer than any deadline: it still works on it when it goes on.
func TestUnconfirmedEndKeepsItsPlace(t *testing.T) {
	convey.Convey("While a cold upstream of limit 1 has not ended what was given up, nothing else is sent", t, func() {
		goesOn := make(chan struct{})
		s := newRawServer(t, func(n int64, conn net.Conn) {
			if n == 1 {
				<-goesOn
				return
			}
			send(conn, http.StatusServiceUnavailable, `{"reason":"shardGone","process":"p","started":false}`)
		})
		a := s.aggregator(t)
		convey.So(ask(a, true, 50*time.Millisecond, 0), convey.ShouldResemble, zlquery.Unknown{
			Reason: zlquery.ReasonDeadline,
		})
		// Longer than a second, which was taken for its end before.
		convey.So(ask(a, true, 1500*time.Millisecond, 0), convey.ShouldHaveSameTypeAs, zlquery.NotRun{})
		convey.So(s.requests.Load(), convey.ShouldEqual, 1)
		close(goesOn)
		convey.So(ask(a, true, 5*time.Second, 0), convey.ShouldResemble, zlquery.NotRun{
			Reason: zlquery.ReasonShardGone,
		})
		convey.So(s.requests.Load(), convey.ShouldEqual, 2)
	})
}
