package zlpeer

import (
	"context"
	"sync"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"

	"github.com/quic-go/quic-go"
)

// call is the sending side of one batch.
type call struct {
	node   *Node
	ctx    context.Context
	cancel context.CancelFunc
	batch  *zlquery.Batch
	sink   func(zlquery.Reply)

	mu sync.Mutex
	// open holds the sub-requests that have no reply yet.
	open map[zlunit.SubRequestID]bool
	// stream is nil until the batch is written.
	stream *quic.Stream
	// pendingCancels holds cancelled sub-requests that are not yet written.
	pendingCancels []zlunit.SubRequestID
	// keepAliveDue is true if a keep-alive is to be written.
	keepAliveDue bool
	// writing is true while writeCancels runs.
	writing bool
}

func newCall(ctx context.Context, n *Node, batch *zlquery.Batch, sink func(zlquery.Reply)) *call {
	ctx, cancel := context.WithCancel(ctx)
	c := &call{
		node:   n,
		ctx:    ctx,
		cancel: cancel,
		batch:  batch,
		sink:   sink,
		open:   make(map[zlunit.SubRequestID]bool, len(batch.SubRequests)),
	}
	for i := range batch.SubRequests {
		c.open[batch.SubRequests[i].ID] = true
	}
	return c
}

// Cancel implements zlcoordinator.Call; it does not block on the network.
func (c *call) Cancel(sub zlunit.SubRequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.open[sub] {
		return
	}
	c.pendingCancels = append(c.pendingCancels, sub)
	c.startWriter()
}

// startWriter starts writing pending cancels and keep-alives, unless that is under
// way. The caller must hold c.mu.
func (c *call) startWriter() {
	if c.stream == nil || c.writing {
		return
	}
	c.writing = true
	c.node.spawn(c.writeCancels)
}

// keepAlive writes keep-alives until stop is closed, since a connection without
// traffic for idleTimeout ends.
func (c *call) keepAlive(stop <-chan struct{}) {
	var timer zltimer.Service
	timer.Subscribe(stop, keepAlivePeriod, 0, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.keepAliveDue = true
		c.startWriter()
	})
}

// writeCancels writes the pending cancels, all in one frame; a frame without any
// is a keep-alive.
func (c *call) writeCancels() {
	for {
		c.mu.Lock()
		ids := c.pendingCancels
		keepAlive := c.keepAliveDue
		c.pendingCancels = nil
		c.keepAliveDue = false
		if len(ids) == 0 && !keepAlive || len(c.open) == 0 {
			c.writing = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		_ = writeFrame(c.stream, frameCancel, cancelMessage{
			Subs: ids,
		})
	}
}

// run writes the batch and delivers replies until all have arrived or the stream
// fails.
func (c *call) run(stream *quic.Stream) {
	stop := context.AfterFunc(c.ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if err := writeFrame(stream, frameBatch, c.batch); err != nil {
		c.failAll(true)
		return
	}
	c.setStream(stream)
	if c.batch.TimeLeft > keepAlivePeriod {
		ended := make(chan struct{})
		defer close(ended)
		c.node.spawn(func() {
			c.keepAlive(ended)
		})
	}
	reader := newFrameReader(stream, maxReplyFrame, c.node.countUnknownKind)
	defer reader.release()
	for c.openCount() > 0 {
		kind, data, err := reader.next()
		if err != nil {
			c.failAll(true)
			return
		}
		if kind != frameReplies {
			c.node.countUnknownKind()
			continue
		}
		if !c.deliver(data) {
			stream.CancelRead(1)
			c.failAll(true)
			return
		}
	}
	_ = stream.Close()
}

// setStream enables the writing of cancels, including earlier ones.
func (c *call) setStream(stream *quic.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stream = stream
	if len(c.pendingCancels) > 0 {
		c.startWriter()
	}
}

// deliver passes the replies of a frame to the sink, and reports false if the
// frame can't be decoded. Replies that belong to another query or have no open
// sub-request are dropped and counted.
func (c *call) deliver(data []byte) bool {
	replies, dropped, err := decodeReplies(data)
	if err != nil {
		c.node.countDropped(zlquery.ReasonBadReply)
		return false
	}
	for range dropped {
		c.node.countDropped(zlquery.ReasonBadReply)
	}
	for i := range replies {
		if replies[i].Query != c.batch.Query || !c.closeSub(replies[i].Sub) {
			c.node.countDropped(zlquery.ReasonBadReply)
			continue
		}
		c.sink(replies[i])
	}
	return true
}

func (c *call) openCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// closeSub marks a sub-request as answered, and reports whether it was open.
func (c *call) closeSub(sub zlunit.SubRequestID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasOpen := c.open[sub]
	delete(c.open, sub)
	return wasOpen
}

// failAll ends all open sub-requests, as unknown if the batch may have been sent
// and as not run otherwise.
func (c *call) failAll(maybeSent bool) {
	c.mu.Lock()
	open := c.open
	c.open = nil
	c.mu.Unlock()
	var result zlquery.Result = zlquery.NotRun{
		Reason: zlquery.ReasonPeerLost,
	}
	if maybeSent {
		result = zlquery.Unknown{
			Reason: zlquery.ReasonPeerLost,
		}
	}
	for sub := range open {
		c.sink(zlquery.Reply{
			Query:  c.batch.Query,
			Sub:    sub,
			Result: result,
		})
	}
}
