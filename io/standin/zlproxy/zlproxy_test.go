package zlproxy

import (
	"bufio"
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// echo listens and sends each line back.
func echo(t *testing.T) string {
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

// ask sends a line and reports whether it comes back within d.
func ask(c net.Conn, d time.Duration) error {
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

func TestMoods(t *testing.T) {
	target := echo(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	p := &Proxy{
		Target: target,
	}
	if err := p.Run(); err != nil {
		t.Fatal(err)
	}
	c := dial(t, p)
	if err := ask(c, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	for name, m := range map[string]Mood{
		"to the target": {
			MuteTo: true,
		},
		"from the target": {
			MuteFrom: true,
		},
		"slow": {
			Delay: time.Minute,
		},
	} {
		p.Set(m)
		muted := dial(t, p)
		if err := ask(muted, 50*time.Millisecond); !isTimeout(err) {
			t.Errorf("%s: %v", name, err)
		}
		_ = muted.Close()
	}
	p.Set(Mood{
		Refuse: true,
	})
	// The reset may come before the dial returns, or after.
	refused, err := net.Dial("tcp", p.Address())
	if err == nil {
		err = ask(refused, 5*time.Second)
		_ = refused.Close()
	}
	if err == nil || isTimeout(err) {
		t.Errorf("refused: %v", err)
	}
	p.Set(Mood{})
	if err := ask(c, 5*time.Second); err != nil {
		t.Errorf("an open connection after the moods: %v", err)
	}
	p.Reset()
	if err := ask(c, 5*time.Second); err == nil || isTimeout(err) {
		t.Errorf("reset: %v", err)
	}
	_ = c.Close()
	p.Close()
}

// What a muted connection was sent arrives once the mood is over.
func TestMutedDataArrivesLate(t *testing.T) {
	p := &Proxy{
		Target: echo(t),
	}
	if err := p.Run(); err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	c := dial(t, p)
	defer func() {
		_ = c.Close()
	}()
	p.Set(Mood{
		MuteTo:   true,
		MuteFrom: true,
	})
	if err := ask(c, 50*time.Millisecond); !isTimeout(err) {
		t.Fatal(err)
	}
	p.Set(Mood{})
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
}
