package zlsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlhistory"
	"zinnialock/core/version/zlsettings"
	"zinnialock/io/process/zlplatform"
)

func withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// A retry of a write whose reply was lost must not enter the change twice.
func TestEditWhoseReplyIsLostIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given a platform that loses the reply to a write that took effect", t, func() {
			p := newFakePlatform()
			p.loseReplies = 1
			ctx, cancel := withTimeout(time.Minute)
			defer cancel()
			got, err := newEditor(p).Edit(ctx, &Settings, setting("ann", "guild", "deadline", "2s"))
			convey.So(err, convey.ShouldBeNil)
			convey.So(got.Serial, convey.ShouldEqual, zlunit.Serial(1))
			convey.So(got.LostReplies, convey.ShouldEqual, 1)
			log, _, err := newEditor(p).History(ctx, &Settings)
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(log), convey.ShouldEqual, 1)
		})
	})
}

func TestConcurrentEdits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given two editors who read the same tree", t, func() {
			p := newFakePlatform()
			p.latency = 10 * time.Millisecond
			ctx, cancel := withTimeout(time.Minute)
			defer cancel()
			race := func(a, b *Edit) [2]error {
				var errs [2]error
				var wg sync.WaitGroup
				for i, edit := range []*Edit{a, b} {
					wg.Go(func() {
						_, errs[i] = newEditor(p).Edit(ctx, &Settings, edit)
					})
				}
				wg.Wait()
				return errs
			}
			convey.Convey("of two changes to one value one fails with the other's value in its error", func() {
				errs := race(setting("ann", "guild", "deadline", "2s"), setting("bo", "guild", "deadline", "3s"))
				convey.So((errs[0] == nil) != (errs[1] == nil), convey.ShouldBeTrue)
				lost, winner, wanted, set := errs[0], "bo", "2s", "3s"
				if lost == nil {
					lost, winner, wanted, set = errs[1], "ann", "3s", "2s"
				}
				convey.So(kindOf(lost), convey.ShouldEqual, KindConflict)
				convey.So(lost.Error(), convey.ShouldContainSubstring,
					fmt.Sprintf(`path "guild": key "deadline": was (not set), wanted %q, but %s set it to %q`, wanted, winner, set))
			})
			convey.Convey("changes to different values both take effect", func() {
				errs := race(setting("ann", "guild", "deadline", "2s"), setting("bo", "guild", "viewAge", "4s"))
				convey.So(errs, convey.ShouldEqual, [2]error{})
				r, err := newEditor(p).LoadRecord(ctx, &Settings)
				convey.So(err, convey.ShouldBeNil)
				convey.So(r.(*zlsettings.Tree).Nodes["guild"], convey.ShouldResemble, zlsettings.Node{
					"deadline": "2s",
					"viewAge":  "4s",
				})
				convey.So(r.Head().Serial, convey.ShouldEqual, zlunit.Serial(2))
			})
		})
	})
}

func TestInvalidTreeIsRejectedAsAWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("An invalid change is rejected with an error that names all faults, and nothing is written", t, func() {
			p := newFakePlatform()
			ctx, cancel := withTimeout(time.Minute)
			defer cancel()
			invalid := &Edit{
				Prepare: func(zlhistory.Record) ([]zlhistory.Change, zlunit.Serial, error) {
					return []zlhistory.Change{
						{
							Path: "guild",
							Key:  "deadline",
							New:  "2",
						},
						{
							Path: "guild/a/b/c/d",
							Key:  "colour",
							New:  1.0,
						},
					}, 0, nil
				},
			}
			_, err := newEditor(p).Edit(ctx, &Settings, invalid)
			convey.So(kindOf(err), convey.ShouldEqual, KindInvalid)
			for _, want := range []string{
				`path "guild": key "deadline": found "2", allowed is a duration from 1ms to 5m0s`,
				`path "guild/a/b/c/d": found "guild/a/b/c/d", allowed is deployment`,
				`key "colour": found an unknown key, allowed is one of [deadline`,
			} {
				convey.So(err.Error(), convey.ShouldContainSubstring, want)
			}
			convey.So(p.revision, convey.ShouldEqual, zlunit.ObjectVersion(0))
		})
	})
}

// Without any write that may have taken effect, an edit during an outage must say
// that nothing was written; after one, it must not.
func TestEditDuringAnOutageIsUnknownOnlyIfItMayHaveBeenWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given a platform that is down", t, func() {
			p := newFakePlatform()
			p.down = true
			ctx, cancel := withTimeout(5 * time.Second)
			defer cancel()
			_, err := newEditor(p).Edit(ctx, &Settings, setting("ann", "guild", "deadline", "2s"))
			convey.So(kindOf(err), convey.ShouldEqual, KindFailed)
		})
		convey.Convey("Given a platform that goes down after it lost a reply", t, func() {
			p := newFakePlatform()
			p.loseReplies = 1
			p.latency = 10 * time.Millisecond
			time.AfterFunc(25*time.Millisecond, func() {
				p.setDown(true)
			})
			ctx, cancel := withTimeout(5 * time.Second)
			defer cancel()
			_, err := newEditor(p).Edit(ctx, &Settings, setting("ann", "guild", "deadline", "2s"))
			convey.So(kindOf(err), convey.ShouldEqual, KindUnknown)
		})
	})
}

// rejectingAfterWrite rejects reads once a write was made.
type rejectingAfterWrite struct {
	*fakePlatform
}

func (p *rejectingAfterWrite) Get(ctx context.Context, kind zlplatform.ObjectKind, name string) (*zlplatform.Object, error) {
	if p.revision > 0 {
		return nil, fakeError(zlplatform.KindRejected)
	}
	return p.fakePlatform.Get(ctx, kind, name)
}

// An error that no retry can help must not hide that an earlier write, whose reply was
// lost, may have taken effect.
func TestRejectionAfterALostReplyIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("Given a platform that loses the reply to a write and rejects the reads after it", t, func() {
			p := &rejectingAfterWrite{
				fakePlatform: newFakePlatform(),
			}
			p.loseReplies = 1
			ctx, cancel := withTimeout(5 * time.Second)
			defer cancel()
			editor := &Editor{
				Platform: p,
				Timer:    newEditor(p.fakePlatform).Timer,
			}
			_, err := editor.Edit(ctx, &Settings, setting("ann", "guild", "deadline", "2s"))
			convey.So(kindOf(err), convey.ShouldEqual, KindUnknown)
		})
	})
}

func TestHistoryIsKeptAndBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("The history of 300 edits is complete, and record and archive stay small", t, func() {
			p := newFakePlatform()
			ctx, cancel := withTimeout(time.Hour)
			defer cancel()
			e := newEditor(p)
			largest := 0
			for i := range 300 {
				if i%7 == 0 {
					p.loseReplies = 1
				}
				_, err := e.Edit(ctx, &Settings, setting("ann", "guild", "priority", float64(i%9)))
				convey.So(err, convey.ShouldBeNil)
				o, err := p.Get(ctx, Settings.Kind, Settings.Name)
				convey.So(err, convey.ShouldBeNil)
				largest = max(largest, len(o.Value))
			}
			log, dropped, err := e.History(ctx, &Settings)
			convey.So(err, convey.ShouldBeNil)
			convey.So(dropped, convey.ShouldEqual, 0)
			convey.So(len(log), convey.ShouldEqual, 300)
			for i, entry := range log {
				convey.So(entry.Serial, convey.ShouldEqual, zlunit.Serial(i+1))
			}
			convey.So(largest, convey.ShouldBeLessThan, 16<<10)
			archive, err := p.Get(ctx, zlplatform.ObjectHistory, string(Settings.Kind))
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(archive.Value), convey.ShouldBeLessThan, 1<<20)
		})
		convey.Convey("An archive drops its oldest entries and counts them", t, func() {
			a := &Archive{}
			long := strings.Repeat("a long reason ", 400)
			for i := range 200 {
				a.add(zlhistory.Log{
					{
						Serial: zlunit.Serial(i + 1),
						Nonce:  zlhistory.Nonce(fmt.Sprint(i)),
						Reason: long,
					},
				})
			}
			data, err := json.Marshal(a)
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(data), convey.ShouldBeLessThan, 1<<20)
			convey.So(a.Dropped+len(a.Entries), convey.ShouldEqual, 200)
			convey.So(a.Dropped, convey.ShouldBeGreaterThan, 0)
		})
	})
}
