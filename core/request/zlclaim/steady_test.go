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

// TestMeasureSteadyState claims ids of one segment for longer than claims are
// kept. The writes must stay within the segment's share of 300 a second, values
// within the limit, and old archives must be deleted. It takes long under the
// race detector, so it only runs with -claims;
// TestFullLogIsArchivedAndForgotten covers the same steps in each run.
func TestMeasureSteadyState(t *testing.T) {
	if *steadyRate == 0 {
		t.Skip("runs only with -claims RATE")
	}
	measureSteadyState(t, *steadyRate)
}

func measureSteadyState(t *testing.T, rate int) {
	t.Helper()
	const duration = Window + 3*extraRetention
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(1)
		w := newWriters(store)
		var wg sync.WaitGroup
		start := time.Now()
		for i := range rate * int(duration.Seconds()) {
			time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
			id := newIDIn(0)
			wg.Go(func() {
				claimReq := ClaimRequest{
					ID:     id,
					Nonce:  Nonce(i),
					Holder: "vm",
				}
				if reply, err := w.Claim(t.Context(), claimReq); err != nil || reply.Verdict != VerdictGranted {
					t.Errorf("claim %d: got reply %v and error %v, want verdict fresh", i, reply, err)
				}
				_ = w.Record(t.Context(), Outcome{
					ID:    id,
					Nonce: claimReq.Nonce,
					State: StateDone,
				})
			})
		}
		wg.Wait()
		perSecond := float64(store.writes) / duration.Seconds()
		objects := 0
		for _, o := range store.objects[0] {
			if !o.Deleted {
				objects++
			}
		}
		s := &w.writers[0].segment
		t.Logf("%d claims/s: %.1f writes/s, largest value %d bytes, %d objects, %d ids kept", rate, perSecond, store.largest, objects, len(s.index))
		if perSecond > 300.0/Segments || store.largest > maxValue || objects != len(s.head.Archives)+1 {
			t.Errorf("writes or values exceed the limits of the platform, or the objects are not the head and its %d archives", len(s.head.Archives))
		}
		if s.head.Floor == 0 || len(s.index) > rate*int((Window+2*extraRetention).Seconds()) {
			t.Errorf("got floor %d and %d ids, want a raised floor and no more ids than are kept", s.head.Floor, len(s.index))
		}
		w.Close()
	})
}

// FuzzRecords checks that any stored head is either rejected or decoded into
// records that survive another round of encoding.
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
		encoded, err := json.Marshal(first)
		if err != nil || json.Unmarshal(encoded, &second) != nil || !slices.Equal(first.Records, second.Records) {
			t.Errorf("%q became %q: %v", data, encoded, err)
		}
	})
}
