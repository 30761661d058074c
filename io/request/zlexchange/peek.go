package zlexchange

import (
	"errors"
	"syscall"
)

// nothingReceived reports whether an idle connection is still open and has no
// unread bytes in its socket; such bytes would belong to no request. Bytes that were
// read together with the last answer are checked when that is received.
func (c *conn) nothingReceived() bool {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = n <= 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && empty
}
