package zlexchange

import (
	"context"
	"net"
	"testing"

	"zinnialock/core/connection/zlreadbudget"
	"zinnialock/core/request/zlrelay"
)

// Guards against a request whose caller left, or whose time ended, and that counts as one that
// ended its replica: the replica lives and hasn't answered yet.
func TestCancelledSendIsNotAnEndOfTheReplica(t *testing.T) {
	received := make(chan struct{})
	silent := make(chan struct{})
	_, x, e := newReplica(t, func(int, string, net.Conn) bool {
		close(received)
		<-silent
		return false
	})
	x.Budget = &zlreadbudget.Budget{
		Limit: 1 << 20,
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := call("1")
	go func() {
		<-received
		// The request may end before its cancellation ends the read.
		c.Request.End()
		cancel()
	}()
	reply := x.Send(ctx, e, c)
	close(silent)
	unknown, ok := reply.(*zlrelay.Unknown)
	if !ok || unknown.ReplicaEnded {
		t.Errorf("got %#v, want an unknown outcome at a replica that did not end", reply)
	}
}
