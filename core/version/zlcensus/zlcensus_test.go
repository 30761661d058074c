package zlcensus

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
)

var errDown = errors.New("down")

// store holds the entries; what it lists lags.
type store struct {
	mu       sync.Mutex
	self     Entry
	entries  map[zlunit.VM]Entry
	lagging  []Entry
	revision uint64
	writes   int
	down     bool
}

// put writes an entry; mu is held, or nothing runs yet.
func (s *store) put(e Entry) {
	s.revision++
	e.Revision = s.revision
	s.entries[e.VM] = e
}

func (s *store) Announce(context.Context, bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errDown
	}
	s.writes++
	s.put(s.self)
	return nil
}

func (s *store) written() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

func (s *store) Withdraw(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, s.self.VM)
	return nil
}

func (s *store) Entries(context.Context) ([]Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errDown
	}
	return s.lagging, nil
}

// lag shows what there is after 2 s.
func (s *store) lag(done <-chan struct{}) {
	(&zltimer.Service{}).Subscribe(done, time.Second, 0, func() {
		s.mu.Lock()
		now := slices.Collect(maps.Values(s.entries))
		s.mu.Unlock()
		time.AfterFunc(time.Second, func() {
			s.mu.Lock()
			s.lagging = now
			s.mu.Unlock()
		})
	})
}

// play runs a census of the VM "own" beside "other", which is there from the
// start, for a time.
func play(t *testing.T, first bool, before []Entry, most time.Duration, during func(s *store, count func() int)) *store {
	t.Helper()
	return playOn(t, &store{}, first, before, most, during)
}

// playOn is play with a store that may be down from the start.
func playOn(t *testing.T, s *store, first bool, before []Entry, most time.Duration, during func(s *store, count func() int)) *store {
	t.Helper()
	*s = store{
		down: s.down,
		self: Entry{
			VM:      "own",
			Address: "a1",
		},
		entries: map[zlunit.VM]Entry{},
	}
	synctest.Test(t, func(*testing.T) {
		for _, e := range before {
			s.put(e)
		}
		s.lagging = slices.Collect(maps.Values(s.entries))
		var mu sync.Mutex
		vms := 0
		done := make(chan struct{})
		c := &Census{
			Self:    "own",
			Address: "a1",
			Timer:   &zltimer.Service{},
			Store:   s,
			First:   first,
			Counted: func(c *Count) {
				mu.Lock()
				defer mu.Unlock()
				vms = c.VMs
			},
			Done: done,
		}
		var group sync.WaitGroup
		group.Go(c.Run)
		group.Go(func() {
			s.lag(done)
		})
		if during != nil {
			during(s, func() int {
				mu.Lock()
				defer mu.Unlock()
				return vms
			})
		}
		time.Sleep(most)
		close(done)
		group.Wait()
		time.Sleep(time.Minute)
	})
	return s
}

// longestLook is the longest time between two looks.
const longestLook = lookEach + lookEach*spreadPercent/100

var other = Entry{
	VM:      "other",
	Address: "a2",
}

// A VM whose process starts again finds its entry and writes it no sooner than
// the others need: after a loss of power that is all VMs at once.
func TestRestartWritesNothingAtOnce(t *testing.T) {
	own := Entry{
		VM:      "own",
		Address: "a1",
	}
	s := play(t, false, []Entry{own, other}, 20*time.Second, func(s *store, count func() int) {
		time.Sleep(time.Second)
		if n := count(); n != 2 {
			t.Errorf("counted %d VMs, want 2", n)
		}
		if n := s.written(); n != 0 {
			t.Errorf("%d writes in the first second", n)
		}
	})
	if n := s.written(); n > 1 {
		t.Errorf("%d writes in 20 s", n)
	}
}

// A VM that came back at another address says so at once.
func TestMovedVMIsWrittenAtOnce(t *testing.T) {
	moved := Entry{
		VM:      "own",
		Address: "a9",
	}
	play(t, false, []Entry{moved, other}, time.Second, func(s *store, _ func() int) {
		time.Sleep(time.Second)
		if n := s.written(); n != 1 {
			t.Errorf("%d writes, want 1", n)
		}
	})
}

// An entry that the list still showed though it was removed is written again.
func TestRemovedEntryIsWrittenAgain(t *testing.T) {
	own := Entry{
		VM:      "own",
		Address: "a1",
	}
	s := play(t, false, []Entry{own, other}, time.Second, func(s *store, count func() int) {
		s.mu.Lock()
		delete(s.entries, "own")
		s.mu.Unlock()
		// It is missed at the second look at the latest if its age is known to be
		// past what a list lags, at the third otherwise, and counted at the next.
		time.Sleep(secondLook + 2*longestLook + time.Second)
		if n := count(); n != 2 {
			t.Errorf("counted %d VMs, want 2", n)
		}
	})
	if s.written() == 0 {
		t.Error("the entry was not written")
	}
}

// The first VMs of a system write at once, and once, and reckon with more than
// they see until all had time to write.
func TestFirstStartWritesOnce(t *testing.T) {
	s := play(t, true, nil, 30*time.Second, func(_ *store, count func() int) {
		time.Sleep(3 * time.Second)
		if n := count(); n < Assumed {
			t.Errorf("reckoned with %d VMs", n)
		}
	})
	if n := s.written(); n != 1 {
		t.Errorf("%d writes, want 1", n)
	}
}

// While the store is down nothing is counted, and the entry is written after it.
func TestOutageAtTheStart(t *testing.T) {
	down := &store{
		down: true,
	}
	s := playOn(t, down, false, []Entry{other}, 40*time.Second, func(s *store, count func() int) {
		time.Sleep(10 * time.Second)
		if n := count(); n != 0 {
			t.Errorf("counted %d VMs without the store", n)
		}
		s.mu.Lock()
		s.down = false
		s.mu.Unlock()
	})
	if s.written() == 0 {
		t.Error("the entry was not written")
	}
}

// An entry that is not renewed stops counting.
func TestOldEntryStopsCounting(t *testing.T) {
	play(t, false, []Entry{other}, time.Second, func(_ *store, count func() int) {
		time.Sleep(staleAfter - lookEach)
		if n := count(); n != 2 {
			t.Errorf("counted %d VMs, want 2", n)
		}
		time.Sleep(3 * lookEach)
		if n := count(); n != 1 {
			t.Errorf("counted %d VMs, want 1", n)
		}
	})
}
