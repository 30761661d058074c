package zlhistory

import (
	"errors"
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlunit"
)

// record is a record with a single path.
type record struct {
	Meta
	values map[string]any
}

// Places implements Record.
func (r *record) Places() []FieldPath {
	var out []FieldPath
	for key := range r.values {
		out = append(out, FieldPath{
			Key: key,
		})
	}
	return out
}

// Value implements Record.
func (r *record) Value(p FieldPath) any {
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

// recordWith returns a record in which the values were committed in order. The first
// character of a value is its key.
func recordWith(values ...string) *record {
	r := &record{
		values: map[string]any{},
	}
	for i, v := range values {
		commit(r, Nonce(fmt.Sprint(i)), v[:1], v)
	}
	return r
}

// commit sets one value and reports whether that changed the record.
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

// A rewind must restore the earlier values, and fail if the history does not reach back.
func TestCommitAndRewind(t *testing.T) {
	convey.Convey("Given a record with four changes", t, func() {
		r := recordWith("a1", "b1", "a2", "b2")
		convey.So(r.Serial, convey.ShouldEqual, zlunit.Serial(4))
		convey.Convey("committing the same value changes nothing", func() {
			convey.So(commit(r, "x", "a", "a2"), convey.ShouldBeFalse)
			convey.So(r.Serial, convey.ShouldEqual, zlunit.Serial(4))
		})
		convey.Convey("it can be rewound to a serial that its history reaches", func() {
			convey.So(Revert(r, 2), convey.ShouldBeNil)
			convey.So(r.values, convey.ShouldResemble, map[string]any{
				"a": "a1",
				"b": "b1",
			})
			convey.So(len(r.History), convey.ShouldEqual, 2)
		})
		convey.Convey("it cannot be rewound past dropped entries", func() {
			r.Drop(r.History[:2])
			var e *Error
			convey.So(errors.As(Revert(r, 1), &e) && e.Kind == KindTooOld, convey.ShouldBeTrue)
			convey.So(Revert(r, 2), convey.ShouldBeNil)
		})
	})
}

// After the platform was restored from an older state, no accepted change of the daemon's
// record or of the restored record may be lost.
func TestMergeOfForkedRecords(t *testing.T) {
	convey.Convey("Given a daemon's record and the platform's, restored from an older state", t, func() {
		held := recordWith("a1", "b1", "a2", "b2")
		next := recordWith("a1", "b1")
		convey.Convey("if the restored record has no new changes, the daemon's is the result", func() {
			convey.So(Forked(held, next), convey.ShouldBeTrue)
			convey.So(Merge(held, next), convey.ShouldEqual, held)
		})
		convey.Convey("if both changed a value, the newer one stays and no change is lost", func() {
			commit(next, "n", "a", "a3")
			convey.So(Forked(held, next), convey.ShouldBeTrue)
			merged := Merge(held, next)
			convey.So(merged.Value(FieldPath{
				Key: "a",
			}), convey.ShouldEqual, "a3")
			convey.So(merged.Value(FieldPath{
				Key: "b",
			}), convey.ShouldEqual, "b2")
			convey.So(Forked(held, merged), convey.ShouldBeFalse)
			convey.So(Forked(next, merged), convey.ShouldBeFalse)
			convey.Convey("and an edit made on one record alone is not taken for one made on the result", func() {
				convey.So(Rebase(merged, 4, nil), convey.ShouldNotBeNil)
			})
		})
	})
}
