// Package zlworker runs short tasks on goroutines that it keeps for further
// tasks, since a new goroutine would have to grow its stack for each task. It
// neither queues tasks nor bounds how many run at once.
package zlworker

import "sync"

// maxIdle is the most goroutines of a pool that are kept waiting for a task.
const maxIdle = 512

// Pool runs tasks of one type. Do must be set before use; the methods are safe
// for concurrent use.
type Pool[T any] struct {
	// Do runs one task. It is called on several goroutines at the same time.
	Do func(T)

	mu sync.Mutex
	// idle holds the channels of the goroutines that wait for a task.
	idle []chan T
	// busy counts the tasks that are running.
	busy int
	// closed: Wait was called, so that no goroutine is kept any more.
	closed bool
	// idleCh is made by Wait and closed when no task is running.
	idleCh chan struct{}
}

// Run starts Do with t on another goroutine and returns at once.
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

// work runs t and then the tasks that are received.
func (p *Pool[T]) work(t T) {
	next := make(chan T, 1)
	for more := true; more; t, more = <-next {
		p.Do(t)
		if !p.awaitTask(next) {
			return
		}
	}
}

// awaitTask registers the goroutine of next as idle. It returns false if the
// goroutine must end instead.
func (p *Pool[T]) awaitTask(next chan T) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy--
	if p.idleCh != nil && p.busy == 0 {
		close(p.idleCh)
		p.idleCh = nil
		return false
	}
	if p.closed || len(p.idle) >= maxIdle {
		return false
	}
	p.idle = append(p.idle, next)
	return true
}

// Wait waits until no task is running, and ends the idle goroutines. A task
// that is started after Wait runs in a new goroutine, which ends with the
// task.
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
	if p.idleCh == nil {
		p.idleCh = make(chan struct{})
	}
	idleCh := p.idleCh
	p.mu.Unlock()
	<-idleCh
}
