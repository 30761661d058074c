package zlclaim

import (
	"encoding/json"
	"flag"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var steadyRate = flag.Int("claims", 0, "claims a second of one segment in TestMeasureSteadyState")

// TestMeasureSteadyState claims on one segment for longer than ids are
// remembered: the segment's share of 300 writes a second and the bound on a
// value have to hold, and old archives have to go. It takes long under the race
// detector, so it runs only when asked for; TestFullLogIsArchivedAndForgotten
// checks the same steps each time.
func TestMeasureSteadyState(t *testing.T) {
	if *steadyRate == 0 {
		t.Skip("a measurement; run it with -claims RATE")
	}
	steady(t, *steadyRate)
}

func steady(t *testing.T, rate int) {
	t.Helper()
	const length = Window + 3*memory
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1)
		w := newWriters(store)
		var wg sync.WaitGroup
		start := time.Now()
		for i := range rate * int(length.Seconds()) {
			time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
			id := sameSegment(0)
			wg.Go(func() {
				ask := Ask{
					ID:     id,
					Nonce:  Nonce(i),
					Holder: "vm",
				}
				if reply, err := w.Claim(t.Context(), ask); err != nil || reply.Verdict != VerdictFresh {
					t.Errorf("claim %d: %v, %v", i, reply, err)
				}
				_ = w.Record(t.Context(), Outcome{
					ID:    id,
					Nonce: ask.Nonce,
					State: StateDone,
				})
			})
		}
		wg.Wait()
		perSecond := float64(store.writes) / length.Seconds()
		left := 0
		for _, o := range store.objects[0] {
			if !o.Deleted {
				left++
			}
		}
		s := &w.writers[0].segment
		t.Logf("%d claims/s: %.1f writes/s, largest value %d bytes, %d objects, %d ids remembered", rate, perSecond, store.largest, left, len(s.index))
		if perSecond > 300.0/Segments || store.largest > maxValue || left != len(s.head.Archives)+1 {
			t.Errorf("too much for the platform, or archives were left over (%d named)", len(s.head.Archives))
		}
		if s.head.Floor == 0 || len(s.index) > rate*int((Window+2*memory).Seconds()) {
			t.Errorf("nothing was forgotten: floor %d, %d ids", s.head.Floor, len(s.index))
		}
		w.Close()
	})
}

// FuzzRecords makes sure that whatever the store returns is refused or decoded
// into what encodes to the same.
func FuzzRecords(f *testing.F) {
	for _, seed := range []string{
		`{"floor":5,"archives":[{"name":"7-ab","newest":7}],"ops":"AY8_XH0QerzvASNFZ4mrzQ 1z 1 - vm 1\n"}`,
		`{"ops":"AY8_XH0QirzvASNFZ4mrzQ 1z 2 kf12 vm\n"}`,
		`{"ops":"AY8 1 1 vm"}`, `{"ops":"x"}`, `{"ops":7}`, `[]`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var first, second head
		if json.Unmarshal(data, &first) != nil {
			return
		}
		again, err := json.Marshal(first)
		if err != nil || json.Unmarshal(again, &second) != nil || !slices.Equal(first.Ops, second.Ops) {
			t.Errorf("%q became %q: %v", data, again, err)
		}
	})
}
