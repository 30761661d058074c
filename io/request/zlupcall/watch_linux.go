package zlupcall

import (
	"net"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// watchVM breaks a connection whose other end leaves data or probes without an
// acknowledgement for silentLimit.
func watchVM(conn *net.TCPConn) error {
	err := conn.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     silentLimit,
		Interval: silentLimit,
		Count:    1,
	})
	if err != nil {
		return eris.Wrap(err, "keep-alive")
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "user timeout")
	}
	var fault error
	err = raw.Control(func(fd uintptr) {
		fault = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentLimit.Milliseconds()))
	})
	if err == nil {
		err = fault
	}
	return eris.Wrap(err, "user timeout")
}
