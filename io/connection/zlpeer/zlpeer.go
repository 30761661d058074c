// Package zlpeer exchanges messages between daemons over QUIC with mutual TLS:
// batches of sub-requests with their replies, and small requests by topic. Each
// batch and each small request has its own stream. Requests to upstreams are not
// made here but by the executor of the receiving daemon.
package zlpeer

import (
	"context"
	"crypto/tls"
	"fmt"
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/process/zlworker"
	"zinnialock/core/request/zlcoordinator"
	"zinnialock/core/request/zlexecutor"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlview"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindListen means that the address can't be bound.
	KindListen Kind = "listen"
	// KindUnreachable means that the other daemon can't be reached or answered
	// with an error.
	KindUnreachable Kind = "unreachable"
	// KindDecode means that a message is malformed or out of bounds.
	KindDecode Kind = "decode"
)

// Error reports a failure of the exchange with other daemons.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("zlpeer: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Protocol is the ALPN name of the protocol between daemons.
const Protocol = "zinnialock/1"

const (
	// dialTimeout bounds the handshake with another daemon.
	dialTimeout = time.Second
	// idleTimeout ends a connection without traffic. Unused connections have no
	// keep-alive: otherwise those of a fleet would grow to a full mesh.
	idleTimeout = 5 * time.Second
	// keepAlivePeriod is the time between keep-alives of a batch that runs.
	keepAlivePeriod = 2 * time.Second
	// maxStreams bounds the concurrent streams of one connection.
	maxStreams = 1 << 14
)

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        idleTimeout,
		MaxIncomingStreams:    maxStreams,
		HandshakeIdleTimeout:  dialTimeout,
		MaxIncomingUniStreams: -1,
	}
}

// Counter counts events by name and reason. Count may be called at the same time.
type Counter interface {
	Count(name string, reason zlquery.Reason)
}

const (
	// counterDropped names the counter of messages that were dropped as unusable.
	counterDropped = "peerDropped"
	// reasonUnknownKind is its reason for a frame of unknown kind.
	reasonUnknownKind zlquery.Reason = "unknownKind"
)

// RequestHandler answers a small request of another daemon. It may be called at the same
// time; its error is sent as text.
type RequestHandler func(ctx context.Context, topic string, body []byte) ([]byte, error)

// Node is this daemon's end of the protocol, as client and server. The exported
// fields must be set before Run; its methods may be called at the same time
// between Run and Close.
type Node struct {
	Self zlunit.VM
	// Address is the UDP host and port to listen on.
	Address string
	// TLS is used for both directions.
	TLS *tls.Config
	// Views supplies the addresses of other daemons.
	Views *zlview.CurrentView
	// Executor serves the batches for this daemon.
	Executor *zlexecutor.Executor
	// HandleRequest answers the small requests to this daemon.
	HandleRequest RequestHandler
	// Counter counts dropped messages; it may be nil.
	Counter Counter

	ctx       context.Context
	cancel    context.CancelFunc
	transport *quic.Transport
	listener  *quic.Listener
	// handshakes bounds the connections of others in their handshake.
	handshakes handshakes
	// mu guards links, which has an entry for each address.
	mu      sync.Mutex
	links   map[string]*link
	workers zlworker.Pool[func()]
	meter   trafficMeter
}

var _ zlcoordinator.Dispatcher = (*Node)(nil)

// Run starts listening and returns; its error is an *Error.
func (n *Node) Run() error {
	conn, err := listenUDP(n.Address)
	if err != nil {
		return &Error{
			Op:   "run",
			Kind: KindListen,
			Err:  eris.Wrap(err, n.Address),
		}
	}
	n.handshakes.OnRefused = func() {
		n.countDropped(reasonHandshakes)
	}
	n.transport = &quic.Transport{
		Conn:                conn,
		VerifySourceAddress: n.handshakes.mustVerify,
		ConnContext:         n.handshakes.start,
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.workers.Do = func(f func()) {
		f()
	}
	n.links = map[string]*link{}
	n.listener, err = n.transport.Listen(n.TLS, quicConfig())
	if err != nil {
		_ = conn.Close()
		return &Error{
			Op:   "run",
			Kind: KindListen,
			Err:  eris.Wrap(err, n.Address),
		}
	}
	n.spawn(n.accept)
	return nil
}

// Close ends all connections and waits for their goroutines.
func (n *Node) Close() {
	n.cancel()
	_ = n.listener.Close()
	for _, conn := range n.meter.open() {
		// Notifies the other daemon, which would otherwise wait for a timeout.
		_ = conn.CloseWithError(0, "closing")
	}
	_ = n.transport.Close()
	_ = n.transport.Conn.Close()
	n.workers.Wait()
}

// Dispatch implements zlcoordinator.Dispatcher; a batch to this daemon itself is
// served locally.
func (n *Node) Dispatch(ctx context.Context, to zlunit.VM, batch *zlquery.Batch, sink func(zlquery.Reply)) zlcoordinator.Call {
	if to == n.Self {
		return n.Executor.Serve(ctx, batch, sink)
	}
	c := newCall(ctx, n, batch, sink)
	n.spawn(func() {
		n.runCall(to, c)
	})
	return c
}

func (n *Node) runCall(to zlunit.VM, c *call) {
	defer c.cancel()
	stream, err := n.open(c.ctx, to)
	if err != nil {
		c.failAll(false)
		return
	}
	c.run(stream)
}

// Request sends a small request to the daemon at addr and returns the body of its
// response. Its error is an *Error.
func (n *Node) Request(ctx context.Context, addr, topic string, body []byte) ([]byte, error) {
	stream, err := n.openAt(ctx, addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if err := writeFrame(stream, frameRequest, request{
		Topic: topic,
		Body:  body,
	}); err != nil {
		return nil, unreachable("ask", err)
	}
	_ = stream.Close()
	return n.readResponse(stream)
}

func (n *Node) readResponse(stream *quic.Stream) ([]byte, error) {
	reader := newFrameReader(stream, maxReplyFrame, n.countUnknownKind)
	defer reader.release()
	kind, data, err := reader.next()
	if err != nil {
		return nil, unreachable("ask", err)
	}
	var resp response
	if kind != frameResponse {
		return nil, decodeError(eris.Errorf("found a frame of kind %q, want a response", byte(kind)))
	}
	if err := decMode.Unmarshal(data, &resp); err != nil {
		return nil, decodeError(err)
	}
	if resp.Error != "" {
		return nil, unreachable("ask", eris.New(resp.Error))
	}
	return resp.Body, nil
}

func unreachable(op string, err error) error {
	return &Error{
		Op:   op,
		Kind: KindUnreachable,
		Err:  err,
	}
}

func (n *Node) open(ctx context.Context, to zlunit.VM) (*quic.Stream, error) {
	m, ok := n.Views.Load().Peer(to)
	if !ok {
		return nil, unreachable("open", eris.Errorf("no daemon %q in the roster", to))
	}
	return n.openAt(ctx, m.Peer)
}

func (n *Node) openAt(ctx context.Context, addr string) (*quic.Stream, error) {
	conn, err := n.link(addr).get(ctx, n)
	if err != nil {
		return nil, unreachable("open", err)
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, unreachable("open", err)
	}
	return stream, nil
}

func (n *Node) link(addr string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.links[addr]
	if !ok {
		l = &link{
			addr: addr,
		}
		n.links[addr] = l
	}
	return l
}

// ListenAddress returns the address that Run bound, with the actual port.
func (n *Node) ListenAddress() string {
	return n.transport.Conn.LocalAddr().String()
}

// spawn runs f on a goroutine that Close waits for.
func (n *Node) spawn(f func()) {
	n.workers.Run(f)
}

// countDropped counts a message that was dropped as unusable.
func (n *Node) countDropped(reason zlquery.Reason) {
	if n.Counter != nil {
		n.Counter.Count(counterDropped, reason)
	}
}

func (n *Node) countUnknownKind() {
	n.countDropped(reasonUnknownKind)
}
