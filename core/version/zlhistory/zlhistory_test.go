package zlhistory

import (
	"errors"
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlunit"
)

// record is a record of one path.
type record struct {
	Meta
	values map[string]any
}

// Places implements Record.
func (r *record) Places() []Place {
	var out []Place
	for key := range r.values {
		out = append(out, Place{
			Key: key,
		})
	}
	return out
}

// Value implements Record.
func (r *record) Value(p Place) any {
	return r.values[p.Key]
}

// Set implements Record.
func (r *record) Set(c Change, _ *Entry) {
	if c.New == nil {
		delete(r.values, c.Key)
		return
	}
	r.values[c.Key] = c.New
}

// with returns a record after the given values were set one after another.
func with(values ...string) *record {
	r := &record{
		values: map[string]any{},
	}
	for i, v := range values {
		commit(r, Nonce(fmt.Sprint(i)), v[:1], v)
	}
	return r
}

func commit(r *record, nonce Nonce, key, value string) bool {
	return Commit(r, Entry{
		Nonce: nonce,
		Changes: []Change{
			{
				Key: key,
				New: value,
			},
		},
	})
}

func TestCommitAndRewind(t *testing.T) {
	convey.Convey("Given a record with four changes", t, func() {
		r := with("a1", "b1", "a2", "b2")
		convey.So(r.Serial, convey.ShouldEqual, zlunit.Serial(4))
		convey.Convey("a change to the same value is none", func() {
			convey.So(commit(r, "x", "a", "a2"), convey.ShouldBeFalse)
			convey.So(r.Serial, convey.ShouldEqual, zlunit.Serial(4))
		})
		convey.Convey("it goes back to any serial that its history reaches", func() {
			convey.So(Rewind(r, 2), convey.ShouldBeNil)
			convey.So(r.values, convey.ShouldResemble, map[string]any{
				"a": "a1",
				"b": "b1",
			})
			convey.So(len(r.History), convey.ShouldEqual, 2)
		})
		convey.Convey("but not past what was dropped", func() {
			r.Drop(r.History[:2])
			var e *Error
			convey.So(errors.As(Rewind(r, 1), &e) && e.Kind == KindTooOld, convey.ShouldBeTrue)
			convey.So(Rewind(r, 2), convey.ShouldBeNil)
		})
	})
}

func TestJoinOfAForkedRecord(t *testing.T) {
	convey.Convey("Given a daemon's record and one that was restored and went on", t, func() {
		held := with("a1", "b1", "a2", "b2")
		next := with("a1", "b1")
		convey.Convey("without changes of its own the daemon's goes back as it is", func() {
			convey.So(Forked(held, next), convey.ShouldBeTrue)
			convey.So(Merge(held, next), convey.ShouldEqual, held)
		})
		convey.Convey("the newer value stays and no change is lost", func() {
			commit(next, "n", "a", "a3")
			convey.So(Forked(held, next), convey.ShouldBeTrue)
			joined := Merge(held, next)
			convey.So(joined.Value(Place{
				Key: "a",
			}), convey.ShouldEqual, "a3")
			convey.So(joined.Value(Place{
				Key: "b",
			}), convey.ShouldEqual, "b2")
			convey.So(Forked(held, joined), convey.ShouldBeFalse)
			convey.So(Forked(next, joined), convey.ShouldBeFalse)
			convey.Convey("and nothing made on one side alone passes for made on the join", func() {
				convey.So(Rebase(joined, 4, nil), convey.ShouldNotBeNil)
			})
		})
	})
}
