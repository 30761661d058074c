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
)

// limitBuffers sets the buffers of the connections that l accepts. Those of an accepted connection
// could only be set after the other side may have filled them. Another kind of listener, or a
// system that refuses, keeps its own.
func limitBuffers(l net.Listener) {
	tcp, ok := l.(*net.TCPListener)
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
	})
}
