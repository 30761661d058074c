// Package zlpeer carries messages between daemons over QUIC with mutual TLS.
// Each batch has a stream of its own; each other message is one stream with a
// request and a reply.
package zlpeer

import (
	"context"
	"crypto/tls"
	"fmt"
	"sync"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/process/zlworker"
	"zinnialock/core/request/zlaggregator"
	"zinnialock/core/request/zlcoordinator"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlview"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	KindListen      Kind = "listen"
	KindUnreachable Kind = "unreachable"
	KindDecode      Kind = "decode"
)

// Error reports a failure between daemons.
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
	// idleTimeout ends a connection that stayed silent. Nothing keeps an unused
	// one alive, or the connections of a fleet would grow to a full mesh.
	idleTimeout = 5 * time.Second
	// lifePeriod is the time between signs of life on a batch that runs.
	lifePeriod = 2 * time.Second
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

// Counter counts dropped messages by reason.
type Counter interface {
	Count(what string, reason zlquery.Reason)
}

const (
	// countDropped names the counter of messages that cannot be used.
	countDropped = "peerDropped"
	// reasonUnknownKind is its reason for a message of unknown kind.
	reasonUnknownKind zlquery.Reason = "unknownKind"
)

// Asked answers a small request of another daemon.
type Asked func(ctx context.Context, topic string, body []byte) ([]byte, error)

// Node is this daemon's end of the protocol. The exported fields must be set
// before Run.
type Node struct {
	Self       zlunit.VM
	Address    string
	TLS        *tls.Config
	Views      *zlview.CurrentView
	Aggregator *zlaggregator.Aggregator
	Asked      Asked
	// Counter counts what is dropped; it may be nil.
	Counter Counter

	ctx       context.Context
	cancel    context.CancelFunc
	transport *quic.Transport
	listener  *quic.Listener
	mu        sync.Mutex
	links     map[string]*link
	workers   zlworker.Pool[func()]
	meter     trafficMeter
}

var _ zlcoordinator.Dispatcher = (*Node)(nil)

// Run listens and returns once the listener is up.
func (n *Node) Run() error {
	conn, err := listenUDP(n.Address)
	if err != nil {
		return &Error{
			Op:   "run",
			Kind: KindListen,
			Err:  eris.Wrap(err, n.Address),
		}
	}
	n.transport = &quic.Transport{
		Conn: conn,
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
		// The other daemon hears of it and need not wait for a timeout.
		_ = conn.CloseWithError(0, "closing")
	}
	_ = n.transport.Close()
	_ = n.transport.Conn.Close()
	n.workers.Wait()
}

// Dispatch implements zlcoordinator.Dispatcher; a batch to this very daemon is
// served in place.
func (n *Node) Dispatch(ctx context.Context, to zlunit.VM, batch *zlquery.Batch, sink func(zlquery.Reply)) zlcoordinator.Call {
	if to == n.Self {
		return n.Aggregator.Serve(ctx, batch, sink)
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

// Ask sends a small request to the daemon at addr and returns its reply.
func (n *Node) Ask(ctx context.Context, addr, topic string, body []byte) ([]byte, error) {
	stream, err := n.openAt(ctx, addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if err := writeFrame(stream, frameQuestion, question{
		Topic: topic,
		Body:  body,
	}); err != nil {
		return nil, unreachable("ask", err)
	}
	_ = stream.Close()
	return n.readAnswer(stream)
}

func (n *Node) readAnswer(stream *quic.Stream) ([]byte, error) {
	reader := newFrameReader(stream, maxReplyFrame, n.countUnknown)
	defer reader.release()
	kind, data, err := reader.next()
	if err != nil {
		return nil, unreachable("ask", err)
	}
	var a reply
	if kind != frameAnswer {
		return nil, decodeFault(eris.Errorf("found a frame of kind %q, allowed is an answer", byte(kind)))
	}
	if err := decMode.Unmarshal(data, &a); err != nil {
		return nil, decodeFault(err)
	}
	if a.Fault != "" {
		return nil, unreachable("ask", eris.New(a.Fault))
	}
	return a.Body, nil
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

// Bound returns the address that Run listens on.
func (n *Node) Bound() string {
	return n.transport.Conn.LocalAddr().String()
}

// spawn runs f on a goroutine that Close waits for.
func (n *Node) spawn(f func()) {
	n.workers.Run(f)
}

// drop counts a message that cannot be used.
func (n *Node) drop(reason zlquery.Reason) {
	if n.Counter != nil {
		n.Counter.Count(countDropped, reason)
	}
}

func (n *Node) countUnknown() {
	n.drop(reasonUnknownKind)
}
