package zlworker

import (
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"
)

// Guards against tasks that are lost or run twice, against a Wait that returns
// early, and against goroutines that are left behind.
func TestEveryTaskRunsOnceBeforeWaitReturns(t *testing.T) {
	defer goleak.VerifyNone(t)
	var sum atomic.Int64
	p := &Pool[int64]{
		Do: func(n int64) {
			sum.Add(n)
		},
	}
	for round := range int64(3) {
		for i := range int64(2 * maxIdle) {
			p.Run(i)
		}
		p.Wait()
		if want := (round + 1) * maxIdle * (2*maxIdle - 1); sum.Load() != want {
			t.Fatalf("got sum %d of all tasks, want %d", sum.Load(), want)
		}
	}
}

// Guards against keeping the goroutine of a task that is started after Wait.
func TestNoGoroutineIsKeptAfterWait(t *testing.T) {
	p := &Pool[chan struct{}]{
		Do: func(done chan struct{}) {
			close(done)
		},
	}
	p.Wait()
	done := make(chan struct{})
	p.Run(done)
	<-done
	goleak.VerifyNone(t)
}
