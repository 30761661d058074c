package zlrollout

import (
	"sync"

	"zinnialock/core/process/zlunit"
)

// flights counts the sends of this VM to a service that have not ended, by build. All splits
// of the service share it: a send may end long after its split was replaced. The zero value
// is ready for use.
type flights struct {
	mu     sync.Mutex
	counts map[zlunit.Build]int
}

func (f *flights) add(b zlunit.Build) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = map[zlunit.Build]int{}
	}
	f.counts[b]++
}

func (f *flights) remove(b zlunit.Build) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts[b]--; f.counts[b] == 0 {
		delete(f.counts, b)
	}
}

// anyExcept reports whether sends to replicas of other builds than b have not ended.
func (f *flights) anyExcept(b zlunit.Build) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.counts)
	if f.counts[b] > 0 {
		n--
	}
	return n > 0
}
