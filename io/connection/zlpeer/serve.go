package zlpeer

import (
	"context"
	"errors"
	"runtime"
	"sync"

	"zinnialock/core/request/zlaggregator"
	"zinnialock/core/request/zlquery"

	"github.com/quic-go/quic-go"
)

func (n *Node) accept() {
	for {
		conn, err := n.listener.Accept(context.Background())
		if err != nil {
			return
		}
		n.meter.watch(conn)
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

// serveStream serves the batch or the question that a stream begins with.
func (n *Node) serveStream(stream *quic.Stream) {
	defer func() {
		_ = stream.Close()
	}()
	reader := newFrameReader(stream, maxBatchFrame, n.countUnknown)
	kind, data, err := reader.next()
	switch {
	case err != nil:
		var fault *Error
		if errors.As(err, &fault) {
			n.drop(zlquery.ReasonBadRequest)
		}
		n.refuse(stream)
	case kind == frameBatch:
		n.serveBatch(stream, reader, data)
		return
	case kind == frameQuestion:
		n.serveQuestion(stream, data)
	default:
		n.countUnknown()
		n.refuse(stream)
	}
	reader.release()
}

// refuse ends a stream that cannot be served.
func (n *Node) refuse(stream *quic.Stream) {
	stream.CancelRead(1)
	stream.CancelWrite(1)
}

// serveBatch takes reader over.
func (n *Node) serveBatch(stream *quic.Stream, reader *frameReader, data []byte) {
	batch, err := decodeBatch(data)
	if err != nil {
		n.drop(zlquery.ReasonBadRequest)
		n.refuse(stream)
		reader.release()
		return
	}
	out := &replyWriter{
		batch: batch,
		wake:  make(chan struct{}, 1),
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	work := n.Aggregator.Serve(ctx, batch, out.put)
	n.spawn(func() {
		n.readCancels(reader, work)
	})
	out.run(stream)
	stream.CancelRead(0)
}

func (n *Node) readCancels(reader *frameReader, work *zlaggregator.ServedBatch) {
	defer reader.release()
	for {
		kind, data, err := reader.next()
		if err != nil {
			return
		}
		if kind != frameCancel {
			n.countUnknown()
			continue
		}
		subs, err := decodeCancel(data)
		if err != nil {
			n.drop(zlquery.ReasonBadRequest)
			return
		}
		for _, sub := range subs {
			work.Cancel(sub)
		}
	}
}

// replyWriter writes replies; those that are ready together go out in one
// frame. Its put never waits for the network.
type replyWriter struct {
	batch *zlquery.Batch
	wake  chan struct{}

	mu    sync.Mutex
	ready []replyMessage
}

func (w *replyWriter) put(r zlquery.Reply) {
	m := encodeReply(&r)
	w.mu.Lock()
	w.ready = append(w.ready, m)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes until every sub-request of the batch was replied to. A stream that
// broke takes no more, but the replies are still waited for.
func (w *replyWriter) run(stream *quic.Stream) {
	var spare []replyMessage
	for left := len(w.batch.SubRequests); left > 0; {
		<-w.wake
		// Others that are ready to reply go first, into the same frame.
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
		n := w.fit(ready)
		_ = writeFrame(stream, frameReplies, repliesMessage{
			Query:   w.batch.Query,
			Replies: ready[:n],
		})
		ready = ready[n:]
	}
}

// fit returns how many replies go into one frame, at least one.
func (w *replyWriter) fit(ready []replyMessage) int {
	size := 0
	for i := range ready {
		size += replyOverhead
		if d := ready[i].Done; d != nil {
			for _, row := range d.Rows {
				size += len(row) + rowOverhead
			}
		}
		if size > frameGoal && i > 0 {
			return i
		}
	}
	return len(ready)
}

const (
	// frameGoal is the size beyond which a frame takes no further reply, in
	// bytes.
	frameGoal = 256 << 10
	// replyOverhead and rowOverhead bound what surrounds rows, in bytes.
	replyOverhead = 400
	rowOverhead   = 9
)

func (n *Node) serveQuestion(stream *quic.Stream, data []byte) {
	var q question
	if err := decMode.Unmarshal(data, &q); err != nil || len(q.Topic) > maxTopic {
		n.drop(zlquery.ReasonBadRequest)
		n.refuse(stream)
		return
	}
	body, err := n.Asked(stream.Context(), q.Topic, q.Body)
	a := reply{
		Body: body,
	}
	if err != nil {
		a.Fault = err.Error()
	}
	_ = writeFrame(stream, frameAnswer, a)
}
