//go:build !linux

package zlupstreamclient

import (
	"net"

	"github.com/rotisserie/eris"
)

// setUnackedTimeout makes the kernel reset conn once its peer has left keep-alive
// probes unacknowledged for unackedTimeout.
func setUnackedTimeout(conn *net.TCPConn) error {
	return eris.Wrap(conn.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     unackedTimeout,
		Interval: unackedTimeout,
		Count:    1,
	}), "set TCP keep-alive")
}
