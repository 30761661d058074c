// Package zlports finds free loopback ports for stand-ins and the daemons that
// are started beside them.
package zlports

import (
	"net"

	"github.com/rotisserie/eris"
)

// Free returns n different loopback addresses that were free a moment ago.
func Free(n int) ([]string, error) {
	out := make([]string, 0, n)
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrap(err, "free port")
		}
		// All stay taken until the last is found, so that none comes twice.
		defer func() {
			_ = l.Close()
		}()
		out = append(out, l.Addr().String())
	}
	return out, nil
}
