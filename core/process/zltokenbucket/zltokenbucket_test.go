package zltokenbucket

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// Guards against extra work beyond its share of the ordinary work plus Burst.
func TestExtraStaysWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.SampledFrom([]float64{0, 0.04, 0.25}).Draw(t, "share")
		b := &Bucket{
			Burst: 8,
		}
		ordinary, extra := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "earn") {
				n := rapid.IntRange(1, 40).Draw(t, "n")
				ordinary += n
				b.Earn(n, share)
				continue
			}
			if b.Take(0) {
				extra++
			}
		}
		if limit := share*float64(ordinary) + b.Burst; float64(extra) > limit+1e-9 {
			t.Fatalf("got %d pieces of extra work for %d of ordinary work, want at most %v", extra, ordinary, limit)
		}
	})
}

// Guards against a caller with a reserve taking the tokens kept for callers
// without one.
func TestReserveIsKept(t *testing.T) {
	b := &Bucket{
		Burst: 8,
	}
	for range 20 {
		b.Take(0.5)
	}
	left := 0
	for b.Take(0) {
		left++
	}
	if left != 4 {
		t.Fatalf("got %d tokens left, want the reserve of 4", left)
	}
}
