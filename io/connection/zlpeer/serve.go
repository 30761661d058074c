package zlpeer

import (
	"context"
	"errors"
	"runtime"
	"sync"

	"zinnialock/core/request/zlexecutor"
	"zinnialock/core/request/zlquery"

	"github.com/quic-go/quic-go"
)

func (n *Node) accept() {
	for {
		conn, err := n.listener.Accept(context.Background())
		if err != nil {
			return
		}
		n.handshakes.finish(conn)
		n.meter.track(conn)
		n.spawn(func() {
			n.serveConn(conn)
		})
	}
}

func (n *Node) serveConn(conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(conn.Context())
		if err != nil {
			return
		}
		n.spawn(func() {
			n.serveStream(stream)
		})
	}
}

// serveStream serves the batch or the request that a stream begins with.
func (n *Node) serveStream(stream *quic.Stream) {
	defer func() {
		_ = stream.Close()
	}()
	reader := newFrameReader(stream, maxBatchFrame, n.countUnknownKind)
	kind, data, err := reader.next()
	switch {
	case err != nil:
		var decodeErr *Error
		if errors.As(err, &decodeErr) {
			n.countDropped(zlquery.ReasonBadRequest)
		}
		n.resetStream(stream)
	case kind == frameBatch:
		n.serveBatch(stream, reader, data)
		return
	case kind == frameRequest:
		n.serveRequest(stream, data)
	default:
		n.countUnknownKind()
		n.resetStream(stream)
	}
	reader.release()
}

// resetStream resets a stream that can't be served.
func (n *Node) resetStream(stream *quic.Stream) {
	stream.CancelRead(1)
	stream.CancelWrite(1)
}

// serveBatch serves a batch until all its replies are written. It takes over the
// reader, and releases it.
func (n *Node) serveBatch(stream *quic.Stream, reader *frameReader, data []byte) {
	batch, err := decodeBatch(data)
	if err != nil {
		n.countDropped(zlquery.ReasonBadRequest)
		n.resetStream(stream)
		reader.release()
		return
	}
	out := &replyWriter{
		batch: batch,
		wake:  make(chan struct{}, 1),
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	work := n.Executor.Serve(ctx, batch, out.add)
	n.spawn(func() {
		n.readCancels(reader, work)
	})
	out.run(stream)
	stream.CancelRead(0)
}

func (n *Node) readCancels(reader *frameReader, work *zlexecutor.ServedBatch) {
	defer reader.release()
	for {
		kind, data, err := reader.next()
		if err != nil {
			return
		}
		if kind != frameCancel {
			n.countUnknownKind()
			continue
		}
		ids, err := decodeCancel(data)
		if err != nil {
			n.countDropped(zlquery.ReasonBadRequest)
			return
		}
		for _, sub := range ids {
			work.Cancel(sub)
		}
	}
}

// replyWriter writes the replies to a batch; those that are ready at the same time
// share a frame.
type replyWriter struct {
	batch *zlquery.Batch
	wake  chan struct{}

	mu    sync.Mutex
	ready []replyMessage
}

// add queues a reply; it does not block on the network.
func (w *replyWriter) add(r zlquery.Reply) {
	m := encodeReply(&r)
	w.mu.Lock()
	w.ready = append(w.ready, m)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes until every sub-request of the batch has a reply. Errors of the
// stream are ignored, since run must wait for all replies anyway.
func (w *replyWriter) run(stream *quic.Stream) {
	var spare []replyMessage
	for left := len(w.batch.SubRequests); left > 0; {
		<-w.wake
		// Other goroutines that are ready to add a reply do so first, so that it
		// shares the frame.
		runtime.Gosched()
		w.mu.Lock()
		ready := w.ready
		w.ready = spare[:0]
		w.mu.Unlock()
		left -= len(ready)
		if len(ready) > 0 {
			w.write(stream, ready)
		}
		clear(ready)
		spare = ready
	}
}

func (w *replyWriter) write(stream *quic.Stream, ready []replyMessage) {
	for len(ready) > 0 {
		n := w.countFitting(ready)
		_ = writeFrame(stream, frameReplies, repliesMessage{
			Query:   w.batch.Query,
			Replies: ready[:n],
		})
		ready = ready[n:]
	}
}

// countFitting returns the number of replies for the next frame, at least one.
func (w *replyWriter) countFitting(ready []replyMessage) int {
	size := 0
	for i := range ready {
		size += replyOverhead
		if d := ready[i].Done; d != nil {
			for _, row := range d.Rows {
				size += len(row) + rowOverhead
			}
		}
		if size > targetFrameSize && i > 0 {
			return i
		}
	}
	return len(ready)
}

const (
	// targetFrameSize is the estimated size, in bytes, up to which replies are
	// added to a frame.
	targetFrameSize = 256 << 10
	// replyOverhead and rowOverhead bound the encoded size of a reply without its
	// rows, and of a row without its text, in bytes.
	replyOverhead = 400
	rowOverhead   = 9
)

func (n *Node) serveRequest(stream *quic.Stream, data []byte) {
	var req request
	if err := decMode.Unmarshal(data, &req); err != nil || len(req.Topic) > maxTopicBytes {
		n.countDropped(zlquery.ReasonBadRequest)
		n.resetStream(stream)
		return
	}
	body, err := n.HandleRequest(stream.Context(), req.Topic, req.Body)
	resp := response{
		Body: body,
	}
	if err != nil {
		resp.Error = err.Error()
	}
	_ = writeFrame(stream, frameResponse, resp)
}
