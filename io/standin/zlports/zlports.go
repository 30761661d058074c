// Package zlports finds free loopback ports for simulated services and for daemons
// that are started beside them. The ports are not reserved.
package zlports

import (
	"net"

	"github.com/rotisserie/eris"
)

// Free returns n different loopback addresses whose ports were free when it
// checked. Another process may take one before the caller listens on it, so the
// caller should try again with new ones.
func Free(n int) ([]string, error) {
	out := make([]string, 0, n)
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrap(err, "find a free port")
		}
		// Keeps every port open until the last is found, so that none is
		// returned twice.
		defer func() {
			_ = l.Close()
		}()
		out = append(out, l.Addr().String())
	}
	return out, nil
}
