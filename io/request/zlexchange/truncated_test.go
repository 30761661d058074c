package zlexchange

import (
	"net"
	"sync/atomic"
	"testing"

	"zinnialock/core/request/zlrelay"
)

// Guards against the operators' report of a replica that stops in the middle of its answer's
// head and closes, for which callers got a whole answer with an empty or short body. It
// never failed: an answer that ends at any byte but the last is none.
func TestAnswerThatEndsAtAnyByteIsNone(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 0\r\nSigned: yes\r\n"
	for name, c := range map[string]struct {
		answer string
		// whole is the least length that is a whole answer.
		whole int
	}{
		"length":          {answer: head + "Content-Length: 12\r\n\r\nabcdefghijkl"},
		"chunks":          {answer: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n3\r\nfgh\r\n0\r\n\r\n"},
		"trailer":         {answer: head + "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n5\r\nabcde\r\n0\r\nT: 1\r\n\r\n"},
		"interim":         {answer: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 3\r\n\r\nabc"},
		"connection ends": {answer: head + "Connection: close\r\n\r\nabc", whole: len(head + "Connection: close\r\n\r\n")},
	} {
		t.Run(name, func(t *testing.T) {
			if c.whole == 0 {
				c.whole = len(c.answer)
			}
			var length atomic.Int64
			_, x, e := newReplica(t, func(_ int, _ string, conn net.Conn) bool {
				_, _ = conn.Write([]byte(c.answer[:length.Load()]))
				return false
			})
			for n := range len(c.answer) + 1 {
				length.Store(int64(n))
				reply := send(x, e, "0")
				if _, ok := reply.(*zlrelay.Response); ok != (n >= c.whole) {
					t.Errorf("after %q: got %#v", c.answer[:n], reply)
				}
			}
		})
	}
}
