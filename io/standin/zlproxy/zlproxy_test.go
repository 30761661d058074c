package zlproxy

import (
	"bufio"
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// startEchoServer starts a server that sends each line back and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = l.Close()
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() {
					_ = c.Close()
				}()
				r := bufio.NewReader(c)
				for {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					if _, err := c.Write([]byte(line)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// sendLine sends a line and returns an error unless a line comes back within d.
func sendLine(c net.Conn, d time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(d))
	if _, err := c.Write([]byte("x\n")); err != nil {
		return err
	}
	_, err := bufio.NewReader(c).ReadString('\n')
	return err
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// TestFaults checks on one proxy that each fault has its effect on new connections
// and that an open connection works again after the faults end.
func TestFaults(t *testing.T) {
	target := startEchoServer(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	p := &Proxy{
		Target: target,
	}
	if err := p.Run(); err != nil {
		t.Fatal(err)
	}
	c := dial(t, p)
	if err := sendLine(c, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	for name, m := range map[string]Faults{
		"muted to the target": {
			MuteTo: true,
		},
		"muted from the target": {
			MuteFrom: true,
		},
		"delayed": {
			Delay: time.Minute,
		},
	} {
		p.SetFaults(m)
		conn := dial(t, p)
		if err := sendLine(conn, 50*time.Millisecond); !isTimeout(err) {
			t.Errorf("%s: got error %v, want a timeout", name, err)
		}
		_ = conn.Close()
	}
	p.SetFaults(Faults{
		Refuse: true,
	})
	// The reset may arrive before the dial returns, or after it.
	refused, err := net.Dial("tcp", p.Address())
	if err == nil {
		err = sendLine(refused, 5*time.Second)
		_ = refused.Close()
	}
	if err == nil || isTimeout(err) {
		t.Errorf("connection while refusing: got error %v, want a reset", err)
	}
	p.SetFaults(Faults{})
	if err := sendLine(c, 5*time.Second); err != nil {
		t.Errorf("open connection after the faults ended: got error %v, want none", err)
	}
	p.Reset()
	if err := sendLine(c, 5*time.Second); err == nil || isTimeout(err) {
		t.Errorf("connection after Reset: got error %v, want a reset", err)
	}
	_ = c.Close()
	p.Close()
}

// TestMutedDataArrivesLate checks that muted data is kept, not dropped: it arrives
// once the connection is no longer muted.
func TestMutedDataArrivesLate(t *testing.T) {
	p := &Proxy{
		Target: startEchoServer(t),
	}
	if err := p.Run(); err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	c := dial(t, p)
	defer func() {
		_ = c.Close()
	}()
	p.SetFaults(Faults{
		MuteTo:   true,
		MuteFrom: true,
	})
	if err := sendLine(c, 50*time.Millisecond); !isTimeout(err) {
		t.Fatalf("line on a muted connection: got error %v, want a timeout", err)
	}
	p.SetFaults(Faults{})
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
		t.Fatalf("line after the muting ended: got error %v, want the line", err)
	}
}
