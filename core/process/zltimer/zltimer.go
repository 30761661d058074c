// Package zltimer is the timer service: the only source of time for the
// packages under core. Tests run it inside a synctest bubble, where its time
// is virtual.
package zltimer

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Service hands out the time and timers. The zero value is ready for use.
type Service struct {
	// Rate is the speed of this clock against the true one; 0 means 1.
	// Tests set it to model clock-rate errors.
	Rate float64

	once  sync.Once
	start time.Time
}

func (s *Service) init() {
	s.once.Do(func() {
		s.start = time.Now()
	})
}

// Now returns the local time; differences use the monotonic clock.
func (s *Service) Now() time.Time {
	if s.Rate == 0 || s.Rate == 1 {
		return time.Now()
	}
	s.init()
	elapsed := time.Since(s.start)
	return s.start.Add(time.Duration(float64(elapsed) * s.Rate))
}

func (s *Service) real(d time.Duration) time.Duration {
	if s.Rate == 0 || s.Rate == 1 {
		return d
	}
	s.init()
	return time.Duration(float64(d) / s.Rate)
}

// After returns an alarm that fires once when d has passed.
func (s *Service) After(d time.Duration) *Alarm {
	t := time.NewTimer(s.real(d))
	return &Alarm{
		C:       t.C,
		timer:   t,
		service: s,
	}
}

// Call runs f in its own goroutine when d has passed.
func (s *Service) Call(d time.Duration, f func()) *Alarm {
	return &Alarm{
		timer:   time.AfterFunc(s.real(d), f),
		service: s,
	}
}

// Sleep waits for d and reports true, or reports false once done is closed.
func (s *Service) Sleep(done <-chan struct{}, d time.Duration) bool {
	a := s.After(d)
	defer a.Stop()
	select {
	case <-a.C:
		return true
	case <-done:
		return false
	}
}

// Subscribe calls f each period, each wait lengthened by up to jitter (a share
// of the period), until done is closed. It blocks.
func (s *Service) Subscribe(done <-chan struct{}, period time.Duration, jitter float64, f func()) {
	for {
		wait := period + time.Duration(rand.Float64()*jitter*float64(period))
		if !s.Sleep(done, wait) {
			return
		}
		f()
	}
}

// Alarm is one pending timer.
type Alarm struct {
	// C receives once when the alarm fires; nil for alarms made by Call.
	C <-chan time.Time

	timer   *time.Timer
	service *Service
}

// Reset sets the alarm anew to fire once when d has passed; a firing that was
// not received yet is discarded.
func (a *Alarm) Reset(d time.Duration) {
	a.timer.Reset(a.service.real(d))
}

// Stop cancels the alarm and reports whether it had not fired yet.
func (a *Alarm) Stop() bool {
	return a.timer.Stop()
}
