package zltrace

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

func trace(id string, at int, complete bool) *Trace {
	return &Trace{
		Request:  zlunit.RequestID(id),
		Start:    time.Unix(int64(at), 0),
		Outcome:  zlquery.OutcomeDone,
		Complete: complete,
	}
}

func TestStore(t *testing.T) {
	convey.Convey("Given a store with two runs of a request and a refused one", t, func() {
		s := &Store{}
		s.Keep(trace("a", 2, true))
		s.Keep(trace("a", 1, false))
		s.Keep(trace("b", 3, false))

		convey.Convey("it finds them by request id, the oldest first", func() {
			found := s.Find("a")
			convey.So(found, convey.ShouldHaveLength, 2)
			convey.So(found[0].Start.Unix(), convey.ShouldEqual, 1)
			convey.So(s.Find("c"), convey.ShouldBeEmpty)
			convey.So(s.Recent(1, false)[0].Request, convey.ShouldEqual, zlunit.RequestID("b"))
		})

		convey.Convey("a flood of ordinary traces leaves the notable ones and stays bounded", func() {
			for i := range 5000 {
				s.Keep(trace(fmt.Sprintf("n%d", i), 10+i, true))
			}
			convey.So(s.Find("b"), convey.ShouldHaveLength, 1)
			convey.So(len(s.Recent(5000, false)), convey.ShouldBeLessThanOrEqualTo, storeShards*(ordinaryPerShard+notablePerShard))
			convey.So(s.Find("n4999"), convey.ShouldHaveLength, 1)
			convey.So(s.Find("n0"), convey.ShouldBeEmpty)
		})
	})
}
