package zlplatform

import (
	"testing"
	"time"
)

// A single lost reply must not start an outage. An outage has to be reported once at its
// start and once at its end, with its length; a report for each failed call would fill
// the log.
func TestOutageIsReportedOnce(t *testing.T) {
	var d outageDetector
	at := func(seconds float64) time.Time {
		return time.Unix(0, int64((1000+seconds)*float64(time.Second)))
	}
	for _, step := range []struct {
		at          float64
		unreachable bool
		reported    bool
		length      time.Duration
	}{
		{at: 0},
		{at: 0.5, unreachable: true},
		{at: 0.6},
		{at: 1.7, unreachable: true, reported: true},
		{at: 2.7, unreachable: true},
		{at: 9.7, unreachable: true},
		{at: 11.7, reported: true, length: 10 * time.Second},
		{at: 11.8},
		{at: 11.9, unreachable: true},
	} {
		got, reported := d.record(at(step.at), step.unreachable)
		if reported != step.reported || got.Duration != step.length {
			t.Errorf("at %v s: got reported %v, outage %v; want %v, %v", step.at, reported, got.Duration, step.reported, step.length)
		}
	}
}
