package zlupstreamclient_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"zinnialock/core/request/zlquery"
)

// A reply without end must not end as done, and must end long before the deadline.
func TestEndlessRepliesAreCut(t *testing.T) {
	for name, parts := range map[string][2]string{
		"header lines":    {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-Y: z\r\n", 512)},
		"interim answers": {"HTTP/1.1 103 X\r\n\r\n", strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 100)},
		"body":            {"HTTP/1.1 200 OK\r\n\r\n[", strings.Repeat("1,", 2048)},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRawServer(t, func(_ int64, conn net.Conn) {
				_, err := io.WriteString(conn, parts[0])
				for err == nil {
					_, err = io.WriteString(conn, parts[1])
				}
			})
			result := runSubRequest(s.executor(t), false, time.Hour, 0)
			if _, ok := result.(zlquery.Unknown); !ok {
				t.Errorf("got result %#v for a reply without end, want Unknown", result)
			}
		})
	}
}
