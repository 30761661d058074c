package zlexchange

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlrelay"
	"zinnialock/core/version/zlregistry"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// plain is a translator whose replicas name the request in the header Id.
type plain struct{}

func (plain) Outgoing(_ *zlregistry.Entry, c *zlrelay.Call, _ time.Duration) http.Header {
	return http.Header{
		"Id": []string{string(c.Request.ID)},
	}
}

func (plain) Incoming(c *zlrelay.Call, resp *http.Response, body []byte) zlrelay.Reply {
	if resp.Header.Get("Id") != string(c.Request.ID) {
		return nil
	}
	return &zlrelay.Response{
		Status: resp.StatusCode,
		Body:   body,
	}
}

// replica answers each request on its connections as the script says.
type replica struct {
	listener net.Listener
	// answer writes what comes back for the nth request of the replica, and
	// reports whether the connection goes on.
	answer func(n int, id string, c net.Conn) bool

	mu    sync.Mutex
	heads []string
	conns int
	group sync.WaitGroup
}

// dropped counts the answers that were told to belong to others.
type dropped struct {
	atomic.Int64
}

func (d *dropped) Record(e zldecision.Event) {
	if e, ok := e.(*zldecision.Dropped); ok && e.Request == "1" && e.Upstream == "a" && e.Reason == zldecision.ReasonForeignReply {
		d.Add(1)
	}
}

func newReplica(t *testing.T, answer func(n int, id string, c net.Conn) bool) (*replica, *Exchange, *zlregistry.Entry) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &replica{
		listener: l,
		answer:   answer,
	}
	r.group.Go(r.accept)
	done := make(chan struct{})
	x := &Exchange{
		Translator: plain{},
		Sink:       &dropped{},
		Done:       done,
	}
	r.group.Go(x.Run)
	t.Cleanup(func() {
		close(done)
		_ = l.Close()
		r.group.Wait()
	})
	return r, x, &zlregistry.Entry{
		Replica: zlregistry.Replica{
			ID:      "a",
			Address: l.Addr().String(),
		},
	}
}

func (r *replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns++
		r.mu.Unlock()
		r.group.Go(func() {
			defer func() {
				_ = c.Close()
			}()
			r.serve(c)
		})
	}
}

func (r *replica) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		var head strings.Builder
		id := ""
		for {
			text, err := reader.ReadString('\n')
			if err != nil {
				return
			}
			head.WriteString(text)
			if value, ok := strings.CutPrefix(text, "Id: "); ok {
				id = strings.TrimSpace(value)
			}
			if text == "\r\n" {
				break
			}
		}
		r.mu.Lock()
		n := len(r.heads)
		r.heads = append(r.heads, head.String())
		r.mu.Unlock()
		if !r.answer(n, id, c) {
			return
		}
	}
}

func (r *replica) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conns
}

func answer(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func send(x *Exchange, e *zlregistry.Entry, id string) zlrelay.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return x.Send(ctx, e, call(id))
}

func call(id string) *zlrelay.Call {
	return &zlrelay.Call{
		Request: &zlrelay.Request{
			ID: zlunit.RequestID(id),
			Message: &zlrelay.Message{
				Method: "GET",
				Target: "/a//b%2f?q=1",
				Host:   "h.example",
				Header: http.Header{
					"X-Own": []string{"1", "2"},
				},
			},
		},
		Deadline: time.Now().Add(time.Minute),
		Start:    func() bool { return true },
	}
}

func wantWhole(t *testing.T, r zlrelay.Reply, body string) {
	t.Helper()
	whole, ok := r.(*zlrelay.Response)
	if !ok || string(whole.Body) != body {
		t.Fatalf("reply %#v, want %q", r, body)
	}
}

func TestRequestGoesOnUnchangedAndConnectionIsKept(t *testing.T) {
	r, x, e := newReplica(t, func(_ int, id string, c net.Conn) bool {
		answer(c, id, "body of "+id)
		return true
	})
	wantWhole(t, send(x, e, "1"), "body of 1")
	wantWhole(t, send(x, e, "2"), "body of 2")
	if n := r.connections(); n != 1 {
		t.Fatalf("%d connections for two requests in turn", n)
	}
	for _, want := range []string{"GET /a//b%2f?q=1 HTTP/1.1\r\n", "Host: h.example\r\n", "X-Own: 1\r\nX-Own: 2\r\n", "Id: 1\r\n"} {
		if !strings.Contains(r.heads[0], want) {
			t.Errorf("head %q lacks %q", r.heads[0], want)
		}
	}
}

// An extra answer comes where the next one is expected; it is dropped and told.
func TestLateExtraAnswerIsNotTheNext(t *testing.T) {
	_, x, e := newReplica(t, func(n int, id string, c net.Conn) bool {
		if n == 1 {
			answer(c, "0", "of another")
		}
		answer(c, id, "own")
		return true
	})
	wantWhole(t, send(x, e, "0"), "own")
	wantWhole(t, send(x, e, "1"), "own")
	if n := x.Sink.(*dropped).Load(); n != 1 {
		t.Fatalf("%d answers of others told", n)
	}
}

// Bytes after an answer belong to no request; the connection is not used again.
func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	r, x, e := newReplica(t, func(_ int, id string, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 3\r\n\r\nownHTTP/1.1 200 OK\r\n", id)
		return true
	})
	wantWhole(t, send(x, e, "0"), "own")
	wantWhole(t, send(x, e, "1"), "own")
	if n := r.connections(); n != 2 {
		t.Fatalf("%d connections", n)
	}
}

func TestCutAnswersAreBroken(t *testing.T) {
	for name, bytes := range map[string]string{
		"nothing":      "",
		"half a head":  "HTTP/1.1 200 OK\r\nId: 0\r\nConte",
		"half a body":  "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 9\r\n\r\nhalf",
		"half a chunk": "HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
		"no answer":    "garbage\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, x, e := newReplica(t, func(_ int, _ string, c net.Conn) bool {
				_, _ = c.Write([]byte(bytes))
				return false
			})
			if _, ok := send(x, e, "0").(*zlrelay.Unknown); !ok {
				t.Fatal("not broken")
			}
		})
	}
}

// An idle connection that the replica closed is seen before it is used.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{})
	r, x, e := newReplica(t, func(n int, id string, c net.Conn) bool {
		answer(c, id, "own")
		if n == 0 {
			_ = c.Close()
			close(closed)
		}
		return n > 0
	})
	wantWhole(t, send(x, e, "0"), "own")
	<-closed
	for x.pool(e).idleQuiet() {
		time.Sleep(time.Millisecond)
	}
	wantWhole(t, send(x, e, "1"), "own")
	if n := r.connections(); n != 2 {
		t.Fatalf("%d connections", n)
	}
}

// idleQuiet reports whether the idle connection still seems sound.
func (p *pool) idleQuiet() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 && p.idle[0].quiet()
}

// A replica answers before it has read a long body, and would take what is left
// of it for the next request.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	r, x, e := newReplica(t, func(_ int, id string, c net.Conn) bool {
		answer(c, id, "early")
		// The body is never read; the caller's end of it is.
		<-time.After(50 * time.Millisecond)
		return false
	})
	long := call("0")
	long.Request.Message.Method = "POST"
	long.Request.Message.Body = make([]byte, 32<<20)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	wantWhole(t, x.Send(ctx, e, long), "early")
	wantWhole(t, send(x, e, "1"), "early")
	if n := r.connections(); n != 2 {
		t.Fatalf("%d connections", n)
	}
}

func TestNothingListensIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	x := &Exchange{
		Translator: plain{},
	}
	reply := send(x, &zlregistry.Entry{
		Replica: zlregistry.Replica{
			Address: address,
		},
	}, "0")
	notRun, ok := reply.(*zlrelay.NotRun)
	if !ok || notRun.Arrived || notRun.Reason != zldecision.ReasonUnreached {
		t.Fatalf("reply %#v", reply)
	}
}

// The end of a wait closes the connection, which ends the work at the replica.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	arrived := make(chan struct{})
	_, x, e := newReplica(t, func(_ int, _ string, c net.Conn) bool {
		close(arrived)
		_, _ = c.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	if _, ok := x.Send(ctx, e, call("0")).(*zlrelay.Unknown); !ok {
		t.Fatal("not broken")
	}
	<-closed
}

func TestKeepTime(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"":                   idleLimit,
		"timeout=5":          4 * time.Second,
		"max=3, timeout=3":   2 * time.Second,
		"timeout=1":          0,
		"timeout=x":          idleLimit,
		"timeout=1000000000": idleLimit,
	} {
		h := http.Header{}
		h.Set("Keep-Alive", value)
		if got := keepTime(h); got != want {
			t.Errorf("%q: %v, want %v", value, got, want)
		}
	}
}
