package zlworker

import (
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"
)

func TestEveryTaskIsRunOnceAndWaitedFor(t *testing.T) {
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
			t.Fatalf("sum %d, want %d", sum.Load(), want)
		}
	}
}

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
