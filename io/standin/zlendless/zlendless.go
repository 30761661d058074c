// Package zlendless is a stand-in for a peer that answers each request with bytes without
// end. It speaks no protocol: what it sends is up to the test.
package zlendless

import (
	"io"
	"net"
	"sync/atomic"
)

// Server accepts connections, reads the start of a request and then sends Head once and
// Repeated until the connection is closed. Exported fields must be set before Run.
type Server struct {
	Listener net.Listener
	Head     string
	Repeated string

	taken atomic.Int64
}

// Run serves until the listener is closed.
func (s *Server) Run() {
	for {
		c, err := s.Listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// Taken returns how many bytes were taken on all connections, with those in the buffers of
// the sockets.
func (s *Server) Taken() int64 {
	return s.taken.Load()
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
	}()
	_, err := c.Read(make([]byte, 4096))
	for text := s.Head; err == nil; text = s.Repeated {
		var n int
		n, err = io.WriteString(c, text)
		s.taken.Add(int64(n))
	}
}
