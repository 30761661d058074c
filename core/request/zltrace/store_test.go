package zltrace

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

func newTrace(id string, at int, complete bool) *Trace {
	return &Trace{
		Request:  zlunit.RequestID(id),
		Start:    time.Unix(int64(at), 0),
		Outcome:  zlquery.OutcomeDone,
		Complete: complete,
	}
}

// The store must stay bounded and must still find a notable trace after many ordinary
// ones, since the notable ones are those that operators look for.
func TestStoreKeepsNotableTraces(t *testing.T) {
	convey.Convey("Given a store with two traces of a request and one of another", t, func() {
		s := &Store{}
		s.Keep(newTrace("a", 2, true))
		s.Keep(newTrace("a", 1, false))
		s.Keep(newTrace("b", 3, false))

		convey.Convey("Find returns them by request id, the oldest first", func() {
			found := s.Find("a")
			convey.So(found, convey.ShouldHaveLength, 2)
			convey.So(found[0].Start.Unix(), convey.ShouldEqual, 1)
			convey.So(s.Find("c"), convey.ShouldBeEmpty)
			convey.So(s.Recent(1, false)[0].Request, convey.ShouldEqual, zlunit.RequestID("b"))
		})

		convey.Convey("many ordinary traces leave the notable ones, and the store stays bounded", func() {
			for i := range 5000 {
				s.Keep(newTrace(fmt.Sprintf("n%d", i), 10+i, true))
			}
			convey.So(s.Find("b"), convey.ShouldHaveLength, 1)
			convey.So(len(s.Recent(5000, false)), convey.ShouldBeLessThanOrEqualTo, storeShards*(maxOrdinaryPerStoreShard+maxNotablePerStoreShard))
			convey.So(s.Find("n4999"), convey.ShouldHaveLength, 1)
			convey.So(s.Find("n0"), convey.ShouldBeEmpty)
		})
	})
}
