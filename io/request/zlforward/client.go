package zlforward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"zinnialock/core/connection/zlreadbudget"
	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlpeerbalancer"
	"zinnialock/core/request/zlrelay"
)

// Client implements zlrelay.Forwarder. Exported fields must be set before Open; Forward may
// be called concurrently after it.
type Client struct {
	// Budget limits the bytes of all replies that are being read or used; nil means no
	// limit.
	Budget *zlreadbudget.Budget
	// Sink receives an event for each reply that cannot be used; may be nil.
	Sink zldecision.Sink

	transport *http.Transport
}

// Open prepares the client; Close ends it.
func (c *Client) Open() {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	c.transport = &http.Transport{
		DialContext:            dialer.DialContext,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerVM,
		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// startReader is the body of a request. It asks for permission right before the first byte
// is read: the transport sends the head together with it or before it, and a head alone is
// not a request that can be served.
type startReader struct {
	*bytes.Reader
	start func() bool
	state atomic.Int32
}

// The states of a startReader.
const (
	bodyUnread int32 = iota
	bodyStarted
	bodyDenied
)

var errNotStarted = errors.New("zlforward: the request is not to be sent any more")

// Read implements io.Reader.
func (r *startReader) Read(p []byte) (int, error) {
	if r.state.Load() == bodyUnread {
		next := bodyDenied
		if r.start() {
			next = bodyStarted
		}
		r.state.CompareAndSwap(bodyUnread, next)
	}
	if r.state.Load() == bodyDenied {
		return 0, errNotStarted
	}
	return r.Reader.Read(p)
}

// deny keeps the body from being read and reports whether none of it was.
func (r *startReader) deny() bool {
	r.state.CompareAndSwap(bodyUnread, bodyDenied)
	return r.state.Load() == bodyDenied
}

// Forward implements zlrelay.Forwarder.
func (c *Client) Forward(ctx context.Context, to zlpeerbalancer.Peer, call *zlrelay.ForwardCall) zlrelay.ForwardReply {
	data, err := encodeForward(call.Forward, time.Now())
	if err != nil {
		c.note(to, err)
		return &zlrelay.NoReply{}
	}
	body := &startReader{
		Reader: bytes.NewReader(data),
		start:  call.Start,
	}
	reply, err := c.exchange(ctx, to, call, body, len(data))
	if err != nil {
		if ctx.Err() == nil {
			c.note(to, err)
		}
		return &zlrelay.NoReply{
			MayHaveRun: !body.deny(),
		}
	}
	return reply
}

func (c *Client) exchange(ctx context.Context, to zlpeerbalancer.Peer, call *zlrelay.ForwardCall, body *startReader, size int) (zlrelay.ForwardReply, error) {
	// A reader that the transport does not know is not rewound, so that the request is
	// sent once at most.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+Path, io.NopCloser(body))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(size)
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	if resp.StatusCode != http.StatusOK {
		return nil, &Error{
			Op:   resp.Status,
			Kind: KindStatus,
		}
	}
	call.Alive()
	data, err := c.read(resp.Body, call)
	if err != nil {
		return nil, err
	}
	return decodeReply(call.Forward.Request.ID, data)
}

// read reads a reply without the signs of life before it.
func (c *Client) read(r io.Reader, call *zlrelay.ForwardCall) ([]byte, error) {
	reservation := &zlreadbudget.Reservation{
		Budget: c.Budget,
	}
	call.Forward.Request.AtEnd(reservation.Close)
	var data []byte
	buffer := make([]byte, 4<<10)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			call.Alive()
		}
		chunk := buffer[:n]
		if len(data) == 0 {
			chunk = bytes.TrimLeft(chunk, string([]byte{aliveByte}))
		}
		if len(data)+len(chunk) > maxMessageBytes || !reservation.Grow(zlreadbudget.Bytes(len(chunk))) {
			reservation.Close()
			return nil, &Error{
				Op:   "reply",
				Kind: KindTooLarge,
			}
		}
		data = append(data, chunk...)
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

func (c *Client) note(to zlpeerbalancer.Peer, err error) {
	if c.Sink != nil {
		c.Sink.Record(&zldecision.Dependency{
			Name:  "forward",
			State: "failed",
			Why:   string(to.VM) + ": " + err.Error(),
		})
	}
}
