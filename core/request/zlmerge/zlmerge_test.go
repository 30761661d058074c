package zlmerge

import (
	"flag"
	"os"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// A part must count at most once for its shard: a hedge can bring a second part of
// the same shard, and a replan one of another version.
func TestMergeCountsOncePerShard(t *testing.T) {
	convey.Convey("Given a merge of 4 shards at version 7", t, func() {
		m := New(7, 4)
		part := zlquery.Part{
			Shard:    2,
			Version:  7,
			Coverage: 0.5,
		}
		convey.So(m.Add(part), convey.ShouldBeTrue)

		convey.Convey("a duplicate, another version and an unknown shard are ignored", func() {
			convey.So(m.Add(part), convey.ShouldBeFalse)
			part.Shard = 3
			part.Version = 6
			convey.So(m.Add(part), convey.ShouldBeFalse)
			part.Shard = 4
			part.Version = 7
			convey.So(m.Add(part), convey.ShouldBeFalse)
			convey.So(m.Coverage(), convey.ShouldEqual, 0.125)
			convey.So(m.Complete(), convey.ShouldBeFalse)
		})
	})
}

// The coverage must equal the plain mean over the first valid part of each shard, in
// whatever order valid, invalid and duplicate parts are added.
func TestMergeAgreesWithNaiveSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "shards")
		m := New(1, n)
		first := map[zlunit.Shard]zlunit.Coverage{}
		for range rapid.IntRange(0, 60).Draw(t, "adds") {
			p := zlquery.Part{
				Shard:    zlunit.Shard(rapid.IntRange(0, n+1).Draw(t, "shard")),
				Version:  zlunit.IndexVersion(rapid.IntRange(0, 2).Draw(t, "version")),
				Coverage: zlunit.Coverage(rapid.SampledFrom([]float64{-1, 0, 0.25, 1, 2}).Draw(t, "coverage")),
			}
			_, present := first[p.Shard]
			want := p.Version == 1 && int(p.Shard) < n && !present && p.Coverage >= 0 && p.Coverage <= 1
			if m.Add(p) != want {
				t.Fatalf("Add(%+v): got %v, want %v", p, !want, want)
			}
			if want {
				first[p.Shard] = p.Coverage
			}
		}
		sum := zlunit.Coverage(0)
		for _, c := range first {
			sum += c
		}
		if d := m.Coverage() - sum/zlunit.Coverage(n); d > 1e-9 || d < -1e-9 {
			t.Fatalf("got coverage %v, want %v", m.Coverage(), sum/zlunit.Coverage(n))
		}
	})
}
