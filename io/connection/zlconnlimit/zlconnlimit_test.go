package zlconnlimit

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"zinnialock/core/connection/zlreadbudget"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// serve serves the connections to the address that it returns until the test ends.
func serve(t *testing.T, l *Limiter, handler http.HandlerFunc) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler: handler,
	}
	l.Apply(server)
	ended := make(chan error, 1)
	go func() {
		ended <- server.Serve(l.Listen(inner))
	}()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return inner.Addr().String()
}

func dial(t *testing.T, address, text string) *bufio.ReadWriter {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Close()
	})
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return bufio.NewReadWriter(bufio.NewReader(c), bufio.NewWriterSize(c, 1))
}

// answer returns the status and body of the next response, or 0 if there is none.
func answer(t *testing.T, c *bufio.ReadWriter) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		return 0, ""
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp.StatusCode, string(data)
}

// await waits until done returns true, which is called with the lock held, for 1,000 polls.
func await(l *Limiter, done func() bool) {
	for range 1000 {
		l.mu.Lock()
		ended := done()
		l.mu.Unlock()
		if ended {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func echo(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
	_, _ = w.Write(append([]byte(r.URL.Path+" "), data...))
}

// Guards against a connection that waits for the end of a head that was read already:
// requests of all forms, in pieces of any size and with or without pauses for the answer,
// are all answered in order.
func TestRequestsInPiecesAreAnswered(t *testing.T) {
	address := serve(t, &Limiter{
		Heads: &zlreadbudget.Budget{
			Limit: 1 << 20,
		},
		Requests: &zlreadbudget.Budget{
			Limit: 1 << 20,
		},
	}, echo)
	forms := []string{
		"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /%d HTTP/1.1\nHost: h\n\n",
		"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\na\n\r\n\n",
		"POST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\na\n\r\n\n\r\n0\r\n\r\n",
		"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nX-A: " + strings.Repeat("z", 9000) + "\r\n\r\na\n\r\n\n",
	}
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		c := dial(t, address, "")
		pipelined := seed%4 == 0
		// The chunked form makes the rest of its connection one that isn't gathered.
		count := len(forms) - int(seed%2)*2
		n := 1 + random.IntN(6)
		check := func(i, form int) {
			want := "/" + strconv.Itoa(i) + " "
			if form >= 2 {
				want += "a\n\r\n\n"
			}
			if status, body := answer(t, c); status != http.StatusOK || body != want {
				t.Errorf("seed %d, request %d: got status %d, body %q, want 200 and %q", seed, i, status, body, want)
			}
		}
		var sent []int
		for i := range n {
			form := random.IntN(count)
			sent = append(sent, form)
			text := strings.Replace(forms[form], "%d", strconv.Itoa(i), 1)
			for len(text) > 0 {
				k := min(len(text), 1+random.IntN(1+len(text)))
				_, _ = c.WriteString(text[:k])
				_ = c.Flush()
				text = text[k:]
			}
			if !pipelined {
				check(i, form)
			}
		}
		for i, form := range sent {
			if pipelined {
				check(i, form)
			}
		}
	}
}

// Guards against heads over the limits that take memory or get another answer than
// documented; one within the limits beside them is served.
func TestHeadsOverTheLimitsAreRefused(t *testing.T) {
	var cause Cause
	l := &Limiter{
		Heads: &zlreadbudget.Budget{
			Limit: 64 << 10,
		},
		Requests: &zlreadbudget.Budget{
			Limit: 64 << 10,
		},
		OnClose: func(c Cause) {
			cause = c
		},
	}
	address := serve(t, l, echo)
	const start = "GET / HTTP/1.1\r\nHost: h\r\n"
	for _, c := range []struct {
		name       string
		text       string
		wantStatus int
		wantCause  Cause
	}{
		{"one line", start + "X-A: " + strings.Repeat("z", DefaultHeadBytes), 431, CauseHeadSize},
		{"many lines", start + strings.Repeat("X:\r\n", DefaultHeadBytes/4), 431, CauseHeadSize},
		{"empty lines", strings.Repeat("\r\n", maxEmptyLines+1), 400, CauseEmptyLines},
		{"whole head that takes much", start + strings.Repeat("X:\r\n", 1000) + "\r\n", 503, CauseRequests},
		{"within the limits", start + "X-A: " + strings.Repeat("z", 16000) + "\r\n\r\n", 200, ""},
	} {
		l.mu.Lock()
		cause = ""
		l.mu.Unlock()
		status, _ := answer(t, dial(t, address, c.text))
		// The answer comes before the close.
		await(l, func() bool {
			return cause == c.wantCause
		})
		if status != c.wantStatus || cause != c.wantCause {
			t.Errorf("%s: got status %d and cause %q, want %d and %q", c.name, status, cause, c.wantStatus, c.wantCause)
		}
	}
}

// Guards against a limit on connections that closes one whose request was passed on, or an
// ordinary idle one while others have no whole request: the order is heads, bodies, idle
// ones; then new ones wait.
func TestConnectionsAreClosedInOrder(t *testing.T) {
	l := &Limiter{
		MaxConns: 4,
	}
	passed := make(chan struct{}, 4)
	release := make(chan struct{})
	address := serve(t, l, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		if r.URL.Path == "/held" {
			passed <- struct{}{}
			<-release
		}
		w.WriteHeader(http.StatusNoContent)
	})
	const held = "GET /held HTTP/1.1\r\nHost: h\r\n\r\n"
	first := dial(t, address, held)
	<-passed
	idle := dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if status, _ := answer(t, idle); status != http.StatusNoContent {
		t.Fatalf("got status %d, want 204", status)
	}
	body := dial(t, address, "POST /held HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n")
	head := dial(t, address, "GET /held HTTP/1.1\r\nHo")
	await(l, func() bool {
		return l.heads.Len() == 1 && l.bodies.Len() == 1 && l.idle.Len() == 1
	})
	for i, c := range []*bufio.ReadWriter{head, body, idle} {
		dial(t, address, held)
		<-passed
		if status, _ := answer(t, c); status != 0 {
			t.Errorf("connection %d got status %d, want it closed", i, status)
		}
	}
	last := dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	close(release)
	for i, c := range []*bufio.ReadWriter{first, last} {
		if status, _ := answer(t, c); status != http.StatusNoContent {
			t.Errorf("connection %d got status %d, want 204", i, status)
		}
	}
}

// Guards against callers that don't read their answers and keep the memory of these: the
// connection ends once nothing has been read for the idle time.
func TestAnswerThatIsNotReadEndsTheConnection(t *testing.T) {
	causes := make(chan Cause, 1)
	l := &Limiter{
		Limits: func() Limits {
			return Limits{
				IdleTime: time.Millisecond,
			}
		},
		OnClose: func(cause Cause) {
			causes <- cause
		},
	}
	ended := make(chan error, 1)
	address := serve(t, l, func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 32<<20))
		ended <- err
	})
	dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if err := <-ended; err == nil {
		t.Error("the answer was written without a reader, want an error")
	}
	if cause := <-causes; cause != CauseAnswerTime {
		t.Errorf("got cause %q, want %q", cause, CauseAnswerTime)
	}
}
