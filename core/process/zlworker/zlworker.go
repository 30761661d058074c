// Package zlworker runs short tasks on goroutines that are kept, since a new
// goroutine would have to grow its stack for each task.
package zlworker

import "sync"

// maxIdle bounds the goroutines of a pool that wait for the next task.
const maxIdle = 512

// Pool runs tasks of one type. Do must be set before use.
type Pool[T any] struct {
	// Do is the work on one task.
	Do func(T)

	mu   sync.Mutex
	idle []chan T
	busy int
	// closed tells that no goroutine is kept any more.
	closed bool
	// ended is made by Wait and closed once nothing is busy.
	ended chan struct{}
}

// Run starts the work on t and returns at once.
func (p *Pool[T]) Run(t T) {
	p.mu.Lock()
	p.busy++
	if n := len(p.idle) - 1; n >= 0 {
		next := p.idle[n]
		p.idle = p.idle[:n]
		p.mu.Unlock()
		next <- t
		return
	}
	p.mu.Unlock()
	go p.work(t)
}

func (p *Pool[T]) work(t T) {
	next := make(chan T, 1)
	for more := true; more; t, more = <-next {
		p.Do(t)
		if !p.park(next) {
			return
		}
	}
}

// park offers to take the next task; it reports false if that is not wanted.
func (p *Pool[T]) park(next chan T) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy--
	if p.ended != nil && p.busy == 0 {
		close(p.ended)
		p.ended = nil
		return false
	}
	if p.closed || len(p.idle) >= maxIdle {
		return false
	}
	p.idle = append(p.idle, next)
	return true
}

// Wait returns once no task is left, and ends the kept goroutines. A task that
// is run later gets a goroutine that ends with it.
func (p *Pool[T]) Wait() {
	p.mu.Lock()
	p.closed = true
	for _, next := range p.idle {
		close(next)
	}
	p.idle = nil
	if p.busy == 0 {
		p.mu.Unlock()
		return
	}
	if p.ended == nil {
		p.ended = make(chan struct{})
	}
	ended := p.ended
	p.mu.Unlock()
	<-ended
}
