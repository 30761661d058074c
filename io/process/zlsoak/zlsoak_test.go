package zlsoak

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

// The same seed gives the same steps, another one others; all kinds come in a
// minute, several at once, and none too late to be over before the counts are read.
func TestStepsFollowFromTheSeed(t *testing.T) {
	const length = time.Minute
	steps := planOf(7, length)
	if !reflect.DeepEqual(steps, planOf(7, length)) || reflect.DeepEqual(steps, planOf(8, length)) {
		t.Fatal("the steps do not follow from the seed")
	}
	seen := map[Kind]bool{}
	overlaps := 0
	for i, s := range steps {
		seen[s.Kind] = true
		if s.At < firstStep || s.At > length-lastStep || s.For < lengthLeast || s.For > lengthMost {
			t.Errorf("step %+v", s)
		}
		if i > 0 && s.At < steps[i-1].At+steps[i-1].For {
			overlaps++
		}
	}
	if len(seen) != len(kinds) || overlaps < len(steps)/2 {
		t.Errorf("kinds %v, %d of %d steps overlap", seen, overlaps, len(steps))
	}
}

func TestEveryMoodIsDrawn(t *testing.T) {
	var texts []string
	for draw := range uint64(20) {
		m, text := moodOf(draw)
		if m.Delay == 0 && !m.MuteTo && !m.MuteFrom && !m.Refuse {
			t.Errorf("draw %d has no mood", draw)
		}
		if !slices.Contains(texts, text) {
			texts = append(texts, text)
		}
	}
	if len(texts) != 5 {
		t.Errorf("moods %v", texts)
	}
}

// A process that leaks is told, one that takes what its load needs is not.
func TestGrowthIsTold(t *testing.T) {
	readings := func(memory, files int) []size {
		out := make([]size, 3*leastSizes)
		for i := range out {
			out[i] = size{
				memory: int64(20+i*memory) << 20,
				files:  50 + i*files,
			}
		}
		return out
	}
	for name, c := range map[string]struct {
		sizes []size
		grows bool
	}{
		"steady": {
			sizes: readings(0, 0),
		},
		"memory": {
			sizes: readings(2, 0),
			grows: true,
		},
		"files": {
			sizes: readings(0, 4),
			grows: true,
		},
		"too short to tell": {
			sizes: readings(9, 9)[:leastSizes-1],
		},
	} {
		if got := grown(c.sizes, c.sizes[len(c.sizes)-1].files); (got != "") != c.grows {
			t.Errorf("%s: %q", name, got)
		}
	}
	// As many callers as wait at a daemon under load are no leak once they are gone.
	if got := grown(readings(0, 4), 50); got != "" {
		t.Error(got)
	}
}

// A bound of news counts only while nobody was out of reach.
func TestHinderedChangesAreNotJudged(t *testing.T) {
	s := &Soak{}
	from := time.Now()
	if s.isHindered(from) {
		t.Error("hindered by nothing")
	}
	over := s.hinder()
	if !s.isHindered(from) {
		t.Error("not hindered by a pause")
	}
	over()
	if !s.isHindered(from) || s.isHindered(time.Now()) {
		t.Error("hindered by a pause that is over, or not by one that was within")
	}
	if s.judge(true) == s.judge(false) || s.report.Judged != 1 || s.report.Unjudged != 1 {
		t.Errorf("report %+v", s.report)
	}
}

// A process that is gone has no size.
func TestSizeOfNobody(t *testing.T) {
	if got, err := sizeOf(1 << 30); err == nil {
		t.Errorf("size %+v", got)
	}
}
