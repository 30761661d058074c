//go:build !linux

package zlupcall

import (
	"net"

	"github.com/rotisserie/eris"
)

// watchVM breaks a connection whose other end leaves probes without an
// acknowledgement for silentLimit.
func watchVM(conn *net.TCPConn) error {
	return eris.Wrap(conn.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     silentLimit,
		Interval: silentLimit,
		Count:    1,
	}), "keep-alive")
}
