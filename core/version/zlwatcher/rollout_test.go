package zlwatcher

import (
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zlrollout"
)

// Guards against calls for orders where they are not followed, and
// against orders that are lost or kept after their withdrawal, also when the store goes back.
func TestOrdersAreFollowedOnlyIfWanted(t *testing.T) {
	for _, follows := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			timer := &zltimer.Service{}
			s := newFakeStore()
			s.era = 1
			done, ended := make(chan struct{}), make(chan struct{})
			w := &Watcher{
				Timer: timer,
				Registry: &zlregistry.Registry{
					Timer: timer,
				},
				Store: s,
				Done:  done,
			}
			var got []zlrollout.Order
			if follows {
				w.OnOrders = func(orders []zlrollout.Order, _ time.Time) {
					got = orders
				}
			}
			s.put(TopicTable, "main", tableItem(1))
			go func() {
				w.Run()
				close(ended)
			}()
			check := func(when string, want int) {
				t.Helper()
				time.Sleep(2 * time.Second)
				synctest.Wait()
				if !follows {
					want = 0
				}
				if len(got) != want || w.ConfirmedAt().IsZero() {
					t.Errorf("follows %v, %s: got %d orders, confirmed at %v; want %d, and a confirmation", follows, when, len(got), w.ConfirmedAt(), want)
				}
			}
			s.put(TopicRollouts, "finder", &RolloutItem{
				Name:  "finder",
				Order: &zlrollout.Order{},
			})
			check("after an order", 1)
			restore := s.copyState()
			s.removeFrom(TopicRollouts, "finder", &RolloutItem{
				Name: "finder",
			})
			check("after its withdrawal", 0)
			restore(true)
			check("after the store went back", 1)
			if n := s.lists[TopicRollouts]; !follows && n > 0 {
				t.Errorf("got %d lists of orders, want none", n)
			}
			close(done)
			<-ended
		})
	}
}
