package zlconnlimit

import (
	"net"
	"syscall"
)

const (
	// receiveBufferBytes and sendBufferBytes are the sizes of the buffers of a connection. They
	// bound what the kernel keeps of bytes that aren't read yet, and of answers whose reader
	// waits: by default up to some MB, depending on the machine. A round trip of 6 ms leaves 2.7
	// MB/s for bodies that are longer than the buffer, and 5 for answers.
	receiveBufferBytes = 16 << 10
	sendBufferBytes    = 32 << 10
	// backlogShare is the number of connections that may wait to be accepted for each that is
	// allowed, and minBacklog the least. Each may hold a receive buffer; Go allows as many as the
	// system does, 4,096 usually.
	backlogShare = 0.25
	minBacklog   = 64
)

// limitSockets sets the buffers of the connections that inner accepts and the number of those that
// wait for it. The buffers of an accepted connection could only be set after the other side may
// have filled them. Another kind of listener, or a system that refuses, keeps its own.
func (l *Limiter) limitSockets(inner net.Listener) {
	tcp, ok := inner.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBufferBytes)
		if l.MaxConns > 0 {
			_ = syscall.Listen(int(fd), max(minBacklog, int(backlogShare*float64(l.MaxConns))))
		}
	})
}
