package zlaggr

import "sync"

// maxIdle bounds the goroutines that wait for the next call.
const maxIdle = 512

// workers runs calls on goroutines that are kept, since a new one would have to
// grow its stack for each call. The zero value is ready for use.
type workers struct {
	mu   sync.Mutex
	idle []chan *sub
	busy int
	// ended is made by wait and closed once nothing is busy.
	ended chan struct{}
}

// run starts s and returns at once.
func (w *workers) run(s *sub) {
	w.mu.Lock()
	w.busy++
	if n := len(w.idle) - 1; n >= 0 {
		next := w.idle[n]
		w.idle = w.idle[:n]
		w.mu.Unlock()
		next <- s
		return
	}
	w.mu.Unlock()
	go w.work(s)
}

func (w *workers) work(s *sub) {
	next := make(chan *sub, 1)
	for s != nil {
		s.run()
		if !w.park(next) {
			return
		}
		s = <-next
	}
}

// park offers to take the next call; it reports false if that is not wanted.
func (w *workers) park(next chan *sub) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy--
	if w.ended != nil && w.busy == 0 {
		close(w.ended)
		w.ended = nil
		return false
	}
	if w.ended != nil || len(w.idle) >= maxIdle {
		return false
	}
	w.idle = append(w.idle, next)
	return true
}

// wait returns once no call is left, and ends the kept goroutines.
func (w *workers) wait() {
	w.mu.Lock()
	for _, next := range w.idle {
		close(next)
	}
	w.idle = nil
	if w.busy == 0 {
		w.mu.Unlock()
		return
	}
	if w.ended == nil {
		w.ended = make(chan struct{})
	}
	ended := w.ended
	w.mu.Unlock()
	<-ended
}
