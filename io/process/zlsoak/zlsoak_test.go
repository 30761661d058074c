package zlsoak

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

// The same seed gives the same steps and another seed different ones. In a
// minute all kinds occur, many overlap, and all end before the counts are read.
func TestPlanIsDeterminedBySeed(t *testing.T) {
	const length = time.Minute
	steps := planSteps(7, length)
	if !reflect.DeepEqual(steps, planSteps(7, length)) || reflect.DeepEqual(steps, planSteps(8, length)) {
		t.Fatal("same seed: want the same steps, another seed: want different ones")
	}
	seen := map[Kind]bool{}
	overlaps := 0
	for i, s := range steps {
		seen[s.Kind] = true
		if s.At < firstStep || s.At > length-quietEnd || s.For < minStepLength || s.For > maxStepLength {
			t.Errorf("step %+v starts or lasts outside its limits", s)
		}
		if i > 0 && s.At < steps[i-1].At+steps[i-1].For {
			overlaps++
		}
	}
	if len(seen) != len(kinds) || overlaps < len(steps)/2 {
		t.Errorf("got kinds %v, want all; %d of %d steps overlap, want at least half", seen, overlaps, len(steps))
	}
}

func TestDrawFaultReturnsEveryFault(t *testing.T) {
	var descriptions []string
	for draw := range uint64(20) {
		m, description := drawFault(draw)
		if m.Delay == 0 && !m.MuteTo && !m.MuteFrom && !m.Refuse {
			t.Errorf("draw %d: got no fault", draw)
		}
		if !slices.Contains(descriptions, description) {
			descriptions = append(descriptions, description)
		}
	}
	if len(descriptions) != 5 {
		t.Errorf("got faults %v, want 5 different ones", descriptions)
	}
}

// TestDescribeGrowthReportsLeaks checks that growth beyond the limits is reported,
// and that steady usage and too few readings are not.
func TestDescribeGrowthReportsLeaks(t *testing.T) {
	readings := func(memory, files int) []usage {
		out := make([]usage, 3*minUsages)
		for i := range out {
			out[i] = usage{
				memory: int64(20+i*memory) << 20,
				files:  50 + i*files,
			}
		}
		return out
	}
	for name, c := range map[string]struct {
		usages []usage
		grows  bool
	}{
		"steady": {
			usages: readings(0, 0),
		},
		"memory": {
			usages: readings(2, 0),
			grows:  true,
		},
		"files": {
			usages: readings(0, 4),
			grows:  true,
		},
		"too few readings": {
			usages: readings(9, 9)[:minUsages-1],
		},
	} {
		if got := describeGrowth(c.usages, c.usages[len(c.usages)-1].files); (got != "") != c.grows {
			t.Errorf("%s usage: got unexpected growth report %q", name, got)
		}
	}
	// The connections of waiting callers are open files under load, but no leak
	// if they are closed at the end.
	if got := describeGrowth(readings(0, 4), 50); got != "" {
		t.Errorf("got growth %q after callers disconnected, want none", got)
	}
}

// A bound is checked only if there was no disruption since the change, also none
// that has ended.
func TestDisruptedChangesAreNotChecked(t *testing.T) {
	s := &Soak{}
	from := time.Now()
	if s.disruptedSince(from) {
		t.Error("got a disruption before the first one began")
	}
	end := s.beginDisruption()
	if !s.disruptedSince(from) {
		t.Error("got no disruption while one was under way")
	}
	end()
	if !s.disruptedSince(from) || s.disruptedSince(time.Now()) {
		t.Error("a disruption that has ended must count from before its end only")
	}
	if s.countChecked(true) == s.countChecked(false) || s.report.Checked != 1 || s.report.Unchecked != 1 {
		t.Errorf("got report %+v, want 1 checked and 1 unchecked change", s.report)
	}
}

// Reading the usage of a process that does not exist fails.
func TestReadUsageOfMissingProcess(t *testing.T) {
	if got, err := readUsage(1 << 30); err == nil {
		t.Errorf("got usage %+v of a process that does not exist, want an error", got)
	}
}
