package zlexchange

import (
	"fmt"
	"net"
	"testing"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/request/zlrelay"
)

// Guards against a failing replica whose answer with an invalid status, or with other bytes in
// its status line, is passed on, taken for an interim one and waited for, or taken for a
// replica that ended or did not run the request.
func TestInvalidStatusIsAnInvalidReply(t *testing.T) {
	for line, valid := range map[string]bool{
		"HTTP/1.1 200 OK":   true,
		"HTTP/1.1 200":      true,
		"HTTP/1.1 599 ":     true,
		"HTTP/1.1 0 X":      false,
		"HTTP/1.1 000 X":    false,
		"HTTP/1.1 099 X":    false,
		"HTTP/1.1 600 X":    false,
		"HTTP/1.1 700 X":    false,
		"HTTP/1.1 999 X":    false,
		"HTTP/1.1 1000 X":   false,
		"HTTP/1.1 2000 OK":  false,
		"HTTP/1.1 20 0 OK":  false,
		"HTTP/1.1 +200 OK":  false,
		"HTTP/1.1 +20 OK":   false,
		"HTTP/1.1 -00 OK":   false,
		"HTTP/1.1 2OO OK":   false,
		"HTTP/1.1 ":         false,
		"HTTP/1.1":          false,
		"HTTP/1.1 200\x00 ": false,
	} {
		t.Run(line, func(t *testing.T) {
			_, x, e := newReplica(t, func(_ int, id string, c net.Conn) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 103 Early Hints\r\n\r\n%s\r\nId: %s\r\nContent-Length: 0\r\n\r\n", line, id)
				writeResponse(c, id, "second")
				return true
			})
			reply := send(x, e, "1")
			if valid {
				wantResponse(t, reply, "")
				return
			}
			u, ok := reply.(*zlrelay.Unknown)
			if !ok || u.Reason != zldecision.ReasonConnectionBroken || u.ReplicaEnded {
				t.Errorf("got reply %#v, want an unknown outcome of a broken connection", reply)
			}
		})
	}
}
