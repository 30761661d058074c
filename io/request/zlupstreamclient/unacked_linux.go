package zlupstreamclient

import (
	"net"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// setUnackedTimeout makes the kernel reset conn once its peer has left data or
// keep-alive probes unacknowledged for unackedTimeout.
func setUnackedTimeout(conn *net.TCPConn) error {
	err := conn.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     unackedTimeout,
		Interval: unackedTimeout,
		Count:    1,
	})
	if err != nil {
		return eris.Wrap(err, "set TCP keep-alive")
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "set TCP_USER_TIMEOUT")
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err == nil {
		err = optErr
	}
	return eris.Wrap(err, "set TCP_USER_TIMEOUT")
}
