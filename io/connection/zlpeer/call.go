package zlpeer

import (
	"context"
	"sync"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"

	"github.com/quic-go/quic-go"
)

// call is the dialling side of one batch.
type call struct {
	node   *Node
	ctx    context.Context
	cancel context.CancelFunc
	batch  *zlquery.Batch
	sink   func(zlquery.Reply)

	mu sync.Mutex
	// open holds the sub-requests without a reply.
	open map[zlunit.SubRequestID]bool
	// stream is nil until the batch was written.
	stream *quic.Stream
	// dropped holds what was cancelled and not yet told.
	dropped []zlunit.SubRequestID
	// due tells that a sign of life is to be written.
	due     bool
	telling bool
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

// Cancel implements zlcoordinator.Call. It does not wait for the network.
func (c *call) Cancel(sub zlunit.SubRequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.open[sub] {
		return
	}
	c.dropped = append(c.dropped, sub)
	c.startTelling()
}

// startTelling has what waits written. The lock must be held.
func (c *call) startTelling() {
	if c.stream == nil || c.telling {
		return
	}
	c.telling = true
	c.node.spawn(c.tell)
}

// keepAlive writes signs of life until stop is closed, since a connection on
// which nothing moves for idleTimeout ends.
func (c *call) keepAlive(stop <-chan struct{}) {
	var timer zltimer.Service
	timer.Subscribe(stop, lifePeriod, 0, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.due = true
		c.startTelling()
	})
}

// tell writes the cancels that are waiting, several in one frame; a frame
// without any is a sign of life.
func (c *call) tell() {
	for {
		c.mu.Lock()
		subs := c.dropped
		due := c.due
		c.dropped = nil
		c.due = false
		if len(subs) == 0 && !due || len(c.open) == 0 {
			c.telling = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		_ = writeFrame(c.stream, frameCancel, cancelMessage{
			Subs: subs,
		})
	}
}

// run writes the batch and delivers replies until all are in or the stream
// broke.
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
	c.started(stream)
	if c.batch.TimeLeft > lifePeriod {
		over := make(chan struct{})
		defer close(over)
		c.node.spawn(func() {
			c.keepAlive(over)
		})
	}
	reader := newFrameReader(stream, maxReplyFrame, c.node.countUnknown)
	defer reader.release()
	for c.left() > 0 {
		kind, data, err := reader.next()
		if err != nil {
			c.failAll(true)
			return
		}
		if kind != frameReplies {
			c.node.countUnknown()
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

// started lets cancels through, those that came before included.
func (c *call) started(stream *quic.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stream = stream
	if len(c.dropped) > 0 {
		c.startTelling()
	}
}

// deliver hands over the replies of a frame; it reports false if the frame
// cannot be read.
func (c *call) deliver(data []byte) bool {
	replies, dropped, err := decodeReplies(data)
	if err != nil {
		c.node.drop(zlquery.ReasonBadReply)
		return false
	}
	for range dropped {
		c.node.drop(zlquery.ReasonBadReply)
	}
	for i := range replies {
		if replies[i].Query != c.batch.Query || !c.close(replies[i].Sub) {
			c.node.drop(zlquery.ReasonBadReply)
			continue
		}
		c.sink(replies[i])
	}
	return true
}

func (c *call) left() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// close marks a sub-request as replied to, and reports whether it was open.
func (c *call) close(sub zlunit.SubRequestID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.open[sub]
	delete(c.open, sub)
	return was
}

// failAll ends all open sub-requests; sent tells that the batch may be out.
func (c *call) failAll(sent bool) {
	c.mu.Lock()
	open := c.open
	c.open = nil
	c.mu.Unlock()
	var result zlquery.Result = zlquery.NotRun{
		Reason: zlquery.ReasonPeerLost,
	}
	if sent {
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
