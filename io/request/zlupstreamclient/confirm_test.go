package zlupstreamclient_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/request/zlquery"
)

// TestUnconfirmedEndKeepsItsPlace checks that a cancelled request counts towards the
// in-flight limit until the upstream closes the connection. An upstream that is
// paused past the deadline resumes the request afterwards, so that a second
// request before the close would exceed the cold limit of 1.
func TestUnconfirmedEndKeepsItsPlace(t *testing.T) {
	convey.Convey("While a cold upstream of limit 1 has not closed a cancelled request, no other request is sent", t, func() {
		resumed := make(chan struct{})
		s := newRawServer(t, func(n int64, conn net.Conn) {
			if n == 1 {
				<-resumed
				return
			}
			send(conn, http.StatusServiceUnavailable, `{"reason":"shardGone","process":"p","started":false}`)
		})
		e := s.executor(t)
		convey.So(runSubRequest(e, true, 50*time.Millisecond, 0), convey.ShouldResemble, zlquery.Unknown{
			Reason: zlquery.ReasonDeadline,
		})
		// Longer than 1 s, a bound after which a request was once taken to have ended.
		convey.So(runSubRequest(e, true, 1500*time.Millisecond, 0), convey.ShouldHaveSameTypeAs, zlquery.NotRun{})
		convey.So(s.requests.Load(), convey.ShouldEqual, 1)
		close(resumed)
		convey.So(runSubRequest(e, true, 5*time.Second, 0), convey.ShouldResemble, zlquery.NotRun{
			Reason: zlquery.ReasonShardGone,
		})
		convey.So(s.requests.Load(), convey.ShouldEqual, 2)
	})
}
