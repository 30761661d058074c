package zlpeer

import (
	"context"
	"sync"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
)

// call is the dialling side of one batch.
type call struct {
	ctx    context.Context
	cancel context.CancelFunc
	batch  *zlquery.Batch
	sink   func(zlquery.Reply)

	mu sync.Mutex
	// open holds the sub-requests without a reply.
	open map[zlunit.SubID]bool
	// encoder is nil until the batch was written.
	encoder *cbor.Encoder
	// dropped holds what was cancelled before the batch was written.
	dropped []zlunit.SubID
}

func newCall(ctx context.Context, batch *zlquery.Batch, sink func(zlquery.Reply)) *call {
	ctx, cancel := context.WithCancel(ctx)
	c := &call{
		ctx:    ctx,
		cancel: cancel,
		batch:  batch,
		sink:   sink,
		open:   make(map[zlunit.SubID]bool, len(batch.Subs)),
	}
	for _, sub := range batch.Subs {
		c.open[sub.ID] = true
	}
	return c
}

// Cancel implements zlcoord.Call.
func (c *call) Cancel(sub zlunit.SubID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.open[sub] {
		return
	}
	if c.encoder == nil {
		c.dropped = append(c.dropped, sub)
		return
	}
	_ = c.encoder.Encode(toServer{
		Cancel: &sub,
	})
}

// run writes the batch and delivers replies until all are in or the stream
// broke.
func (c *call) run(stream *quic.Stream) {
	stop := context.AfterFunc(c.ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if !c.start(stream) {
		c.failAll(true)
		return
	}
	decoder := decMode.NewDecoder(stream)
	for c.left() > 0 {
		var m replyMessage
		if err := decoder.Decode(&m); err != nil {
			c.failAll(true)
			return
		}
		r, ok := decodeReply(&m)
		if ok && c.close(r.Sub) {
			c.sink(r)
		}
	}
	_ = stream.Close()
}

func (c *call) start(stream *quic.Stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	encoder := cbor.NewEncoder(stream)
	if err := encoder.Encode(toServer{
		Batch: c.batch,
	}); err != nil {
		return false
	}
	c.encoder = encoder
	for _, sub := range c.dropped {
		_ = encoder.Encode(toServer{
			Cancel: &sub,
		})
	}
	return true
}

func (c *call) left() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// close marks a sub-request as replied to, and reports whether it was open.
func (c *call) close(sub zlunit.SubID) bool {
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
