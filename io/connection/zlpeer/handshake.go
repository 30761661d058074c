package zlpeer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"zinnialock/core/request/zlquery"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

const (
	// maxUnverifiedHandshakes is how many connections may be in their handshake until others
	// have to prove their address first: that takes them a round trip, and this daemon no memory.
	maxUnverifiedHandshakes = 64
	// maxHandshakes is how many may be at all, at up to 120 KB each: all other daemons of the
	// largest deployment, 659, may connect at once.
	maxHandshakes = 768
	// reasonHandshakes is the reason of counterDropped for a connection beyond that.
	reasonHandshakes zlquery.Reason = "handshakes"
)

var errTooManyHandshakes = eris.New("too many handshakes")

// handshakes bounds the connections whose other side has not shown a certificate yet.
//
// Load pattern: thousands of opening packets a second, each of which makes a connection that
// waits for a handshake that never comes.
type handshakes struct {
	// OnRefused is called for each connection that is refused.
	OnRefused func()

	open atomic.Int64
}

type handshakeKey struct{}

// start is the ConnContext of a quic.Transport.
func (h *handshakes) start(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	end := sync.OnceFunc(func() {
		h.open.Add(-1)
	})
	if h.open.Add(1) > maxHandshakes {
		end()
		h.OnRefused()
		return nil, errTooManyHandshakes
	}
	stop := context.AfterFunc(ctx, end)
	return context.WithValue(ctx, handshakeKey{}, func() {
		stop()
		end()
	}), nil
}

// finish takes note that the handshake of a connection is done.
func (h *handshakes) finish(conn *quic.Conn) {
	if end, ok := conn.Context().Value(handshakeKey{}).(func()); ok {
		end()
	}
}

// mustVerify is the VerifySourceAddress of a quic.Transport.
func (h *handshakes) mustVerify(net.Addr) bool {
	return h.open.Load() >= maxUnverifiedHandshakes
}
