package zlpeer

import (
	"context"
	"sync"

	"zinnialock/core/request/zlquery"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
)

func (n *Node) accept() {
	for {
		conn, err := n.listener.Accept(context.Background())
		if err != nil {
			return
		}
		n.meter.watch(conn)
		n.wg.Go(func() {
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
		n.wg.Go(func() {
			n.serveStream(stream)
		})
	}
}

func (n *Node) serveStream(stream *quic.Stream) {
	defer func() {
		_ = stream.Close()
	}()
	var kind [1]byte
	if _, err := stream.Read(kind[:]); err != nil {
		return
	}
	switch kind[0] {
	case streamKinds.batch:
		n.serveBatch(stream)
	case streamKinds.ask:
		n.serveAsk(stream)
	default:
		stream.CancelRead(1)
	}
}

func (n *Node) serveBatch(stream *quic.Stream) {
	decoder := decMode.NewDecoder(stream)
	var first toServer
	if err := decoder.Decode(&first); err != nil || first.Batch == nil {
		stream.CancelRead(1)
		return
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	var mu sync.Mutex
	encoder := cbor.NewEncoder(stream)
	work := n.Aggregator.Serve(ctx, first.Batch, func(r zlquery.Reply) {
		m := encodeReply(r)
		mu.Lock()
		defer mu.Unlock()
		_ = encoder.Encode(&m)
	})
	n.wg.Go(func() {
		for {
			var next toServer
			if err := decoder.Decode(&next); err != nil {
				return
			}
			if next.Cancel != nil {
				work.Cancel(*next.Cancel)
			}
		}
	})
	work.Wait()
	stream.CancelRead(0)
}

func (n *Node) serveAsk(stream *quic.Stream) {
	var q question
	if err := decMode.NewDecoder(stream).Decode(&q); err != nil {
		return
	}
	body, err := n.Asked(stream.Context(), q.Topic, q.Body)
	a := reply{
		Body: body,
	}
	if err != nil {
		a.Fault = err.Error()
	}
	_ = cbor.NewEncoder(stream).Encode(a)
}
