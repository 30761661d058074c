// Package zltimer is the clock and the timers of the packages under core, which use
// no other source of time. Tests run it inside a synctest bubble, where time is
// virtual, or with a clock that runs fast or slow. It is not for times that are
// compared between machines: it does not synchronise clocks.
package zltimer

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Service returns the time and makes timers. The zero value is ready for use;
// the methods are safe for concurrent use.
type Service struct {
	// Rate is how many seconds this clock counts per true second; 0 means 1.
	// Tests set it, before use, to model a clock that runs fast or slow.
	Rate float64

	once sync.Once
	// start is the true time from which Rate applies.
	start time.Time
}

// init sets start at the first use.
func (s *Service) init() {
	s.once.Do(func() {
		s.start = time.Now()
	})
}

// Now returns the local time. Differences between two results use the
// monotonic clock.
func (s *Service) Now() time.Time {
	if s.Rate == 0 || s.Rate == 1 {
		return time.Now()
	}
	s.init()
	elapsed := time.Since(s.start)
	return s.start.Add(time.Duration(float64(elapsed) * s.Rate))
}

// toTrue converts a duration of this clock into true time.
func (s *Service) toTrue(d time.Duration) time.Duration {
	if s.Rate == 0 || s.Rate == 1 {
		return d
	}
	s.init()
	return time.Duration(float64(d) / s.Rate)
}

// After returns a timer that fires once, on its channel C, when d has passed.
func (s *Service) After(d time.Duration) *Timer {
	timer := time.NewTimer(s.toTrue(d))
	return &Timer{
		C:       timer.C,
		timer:   timer,
		service: s,
	}
}

// AfterFunc runs f in its own goroutine when d has passed, unless the timer is
// stopped before.
func (s *Service) AfterFunc(d time.Duration, f func()) *Timer {
	return &Timer{
		timer:   time.AfterFunc(s.toTrue(d), f),
		service: s,
	}
}

// Sleep waits for d and returns true, or returns false as soon as done is
// closed.
func (s *Service) Sleep(done <-chan struct{}, d time.Duration) bool {
	timer := s.After(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}

// Subscribe calls f periodically until done is closed. Each wait is period
// plus a random part of up to jitter, as a share of period. It blocks, and f
// does not run concurrently with itself.
func (s *Service) Subscribe(done <-chan struct{}, period time.Duration, jitter float64, f func()) {
	for {
		wait := period + time.Duration(rand.Float64()*jitter*float64(period))
		if !s.Sleep(done, wait) {
			return
		}
		f()
	}
}

// Timer is one pending timer.
type Timer struct {
	// C receives the time once when the timer fires; it is nil for timers made
	// by AfterFunc.
	C <-chan time.Time

	timer   *time.Timer
	service *Service
}

// Reset makes the timer fire once when d has passed from now. A firing that
// was not received yet is discarded.
func (t *Timer) Reset(d time.Duration) {
	t.timer.Reset(t.service.toTrue(d))
}

// Stop cancels the timer and reports whether it had not fired yet.
func (t *Timer) Stop() bool {
	return t.timer.Stop()
}

// Remaining returns the time from now to end. The monotonic clock may stand
// still while a machine is suspended, so the wall clock is read too and the
// shorter time counts.
func Remaining(now, end time.Time) time.Duration {
	return min(end.Sub(now), end.Round(0).Sub(now.Round(0)))
}

// Elapsed returns the time from start to now by the clock that counted more, so that
// it includes a suspension of the machine.
func Elapsed(start, now time.Time) time.Duration {
	return max(now.Sub(start), now.Round(0).Sub(start.Round(0)))
}
