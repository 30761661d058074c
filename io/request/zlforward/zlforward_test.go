package zlforward

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"zinnialock/core/connection/zlreadbudget"
	"zinnialock/core/process/zlbalancer"
	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlpeerbalancer"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/request/zlrelay"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.Cleanup(os.Exit))
}

// sender answers each send after a time, or once ctx ends.
type sender struct {
	wait time.Duration
	sent atomic.Int64
	gone chan struct{}
}

func (s *sender) Send(ctx context.Context, _ *zlregistry.Entry, c *zlrelay.Call) zlrelay.Reply {
	c.Start()
	s.sent.Add(1)
	select {
	case <-time.After(s.wait):
	case <-ctx.Done():
		close(s.gone)
		return &zlrelay.Unknown{
			Reason: zldecision.ReasonConnectionBroken,
		}
	}
	return &zlrelay.Response{
		Status:    http.StatusOK,
		Header:    http.Header{"X-Own": []string{c.Request.Message.Header.Get("X-Own")}},
		Body:      append([]byte(c.Request.Message.Target+" "), c.Request.Message.Body...),
		Signature: "sig",
	}
}

// vm is a VM that serves forwards, and a client that sends some to it.
type vm struct {
	*sender
	handler *Handler
	client  *Client
	peer    zlpeerbalancer.Peer
	server  *httptest.Server
}

func newVM(t *testing.T, wait time.Duration) *vm {
	t.Helper()
	v := &vm{
		sender: &sender{
			wait: wait,
			gone: make(chan struct{}),
		},
		client: &Client{},
	}
	timer := &zltimer.Service{}
	registry := &zlregistry.Registry{
		Timer: timer,
	}
	registry.SetTable(zltable.New(3, []zltable.Route{{
		Host:      "h",
		Prefix:    "/",
		Timeout:   5 * time.Second,
		Objective: 5 * time.Second,
		Attempts:  1,
		Targets: []zltable.Target{{
			Service: "s",
			Weight:  1,
		}},
	}}, []zltable.Service{{
		Name:        "s",
		Connections: 10,
	}}, zltable.Limits{}), time.Now(), time.Time{})
	registry.Replace([]zlregistry.Replica{{
		ID:      "i",
		Service: "s",
	}}, time.Now())
	placer := &zlbalancer.Placer{}
	placer.SetVMCount(1)
	v.handler = &Handler{
		Relay: &zlrelay.Relay{
			Timer:    timer,
			Registry: registry,
			Placer:   placer,
			Sender:   v.sender,
			Settings: zlrelay.Settings{
				BudgetWindow: time.Second,
			},
		},
		Stopping: func() bool {
			return false
		},
	}
	v.server = httptest.NewServer(v.handler)
	v.peer = zlpeerbalancer.Peer{
		VM:      "b",
		Address: v.server.Listener.Addr().String(),
	}
	v.client.Open()
	t.Cleanup(func() {
		v.client.Close()
		v.server.Close()
	})
	return v
}

func (v *vm) forward(ctx context.Context, start func() bool, alive func(), body string) zlrelay.ForwardReply {
	req := &zlrelay.Request{
		ID: "r-1",
		Message: &zlrelay.Message{
			Method: http.MethodPost,
			Target: "/x?q=1",
			Path:   "/x",
			Host:   "h",
			Header: http.Header{"X-Own": []string{"1"}},
			Body:   []byte(body),
		},
		Received: time.Now(),
		Deadline: time.Now().Add(4 * time.Second),
	}
	defer req.End()
	return v.client.Forward(ctx, v.peer, &zlrelay.ForwardCall{
		Forward: &zlrelay.Forward{
			Origin:   "a",
			Request:  req,
			Version:  3,
			MinParts: 1,
			Parts: []zlrelay.ForwardPart{{
				Service: "s",
			}},
		},
		Start: start,
		Alive: alive,
	})
}

func yes() bool { return true }

func nothing() {}

// The request and its answer must arrive unchanged, and a VM that works on it must show
// signs of life meanwhile.
func TestForwardIsServed(t *testing.T) {
	v := newVM(t, 5*zlrelay.ForwardInterval)
	alive := 0
	body := strings.Repeat("b", 100<<10)
	reply, ok := v.forward(context.Background(), yes, func() { alive++ }, body).(*zlrelay.Relayed)
	if !ok {
		t.Fatalf("got %T, want *Relayed", reply)
	}
	served, ok := reply.Answer.(*zlrelay.Served)
	if !ok || string(served.Response.Body) != "/x?q=1 "+body || served.Response.Header.Get("X-Own") != "1" || served.Response.Signature != "sig" {
		t.Fatalf("got answer %T, want the replica's unchanged", reply.Answer)
	}
	if reply.Version != 3 || alive < 3 {
		t.Errorf("got version %d and %d signs of life, want 3 and some", reply.Version, alive)
	}
}

// A forward that was not sent must be told from one that may have run.
func TestForwardThatWasNotSent(t *testing.T) {
	v := newVM(t, 0)
	refuse := func() bool { return false }
	if reply, ok := v.forward(context.Background(), refuse, nothing, "").(*zlrelay.NoReply); !ok || reply.MayHaveRun || v.sent.Load() > 0 {
		t.Errorf("start denied: got %+v and %d sends, want no reply, not run", reply, v.sent.Load())
	}
	v.handler.Stopping = yes
	if reply, ok := v.forward(context.Background(), yes, nothing, "").(*zlrelay.Declined); !ok || reply.Reason != zldecision.ReasonStopping {
		t.Errorf("stopping: got %+v, want a decline", reply)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	v.peer.Address = l.Addr().String()
	_ = l.Close()
	if reply, ok := v.forward(context.Background(), yes, nothing, "").(*zlrelay.NoReply); !ok || reply.MayHaveRun {
		t.Errorf("nothing listens: got %+v, want no reply, not run", reply)
	}
}

// The end of a forward must end the work for it. The forward is given up at the first sign of
// life after the send has begun: before that nothing is sent, and there is no work to end.
func TestForwardThatIsGivenUpEndsTheWork(t *testing.T) {
	v := newVM(t, time.Hour)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	giveUp := func() {
		if v.sent.Load() > 0 {
			cancel()
		}
	}
	reply, ok := v.forward(ctx, yes, giveUp, "").(*zlrelay.NoReply)
	if !ok || !reply.MayHaveRun {
		t.Errorf("got %+v, want no reply, may have run", reply)
	}
	<-v.gone
}

// Malformed and endless messages must neither be served nor fill the memory.
func TestMalformedMessages(t *testing.T) {
	v := newVM(t, 0)
	v.handler.Budget = &zlreadbudget.Budget{
		Limit: 64 << 10,
	}
	for _, body := range [][]byte{nil, []byte("x"), {0xa0}, bytes.Repeat([]byte{0x9f}, 4096)} {
		resp, err := http.Post("http://"+v.peer.Address+Path, "", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest {
			t.Errorf("%d bytes: got status %d, want 400", len(body), resp.StatusCode)
		}
	}
	if _, ok := v.forward(context.Background(), yes, nothing, strings.Repeat("b", 128<<10)).(*zlrelay.NoReply); !ok || v.sent.Load() > 0 {
		t.Errorf("over the budget: got a reply or %d sends, want neither", v.sent.Load())
	}
	if v.handler.Budget.Used() != 0 {
		t.Errorf("got %d bytes still held, want none", v.handler.Budget.Used())
	}
	http.DefaultClient.CloseIdleConnections()
}

// A reply without end must be cut at the budget, and one to another request not be used.
func TestRepliesThatCannotBeUsed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	foreign, err := encodeReply("r-2", &zlrelay.Declined{})
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			n++
			if n == 1 {
				_, _ = w.Write(foreign)
				return
			}
			for {
				if _, err := w.Write(bytes.Repeat([]byte{1}, 4096)); err != nil {
					return
				}
			}
		}),
	}
	go func() {
		_ = server.Serve(l)
	}()
	defer func() {
		_ = server.Close()
	}()
	v := newVM(t, 0)
	v.peer.Address = l.Addr().String()
	v.client.Budget = &zlreadbudget.Budget{
		Limit: 64 << 10,
	}
	for range 2 {
		if reply, ok := v.forward(context.Background(), yes, nothing, "").(*zlrelay.NoReply); !ok || !reply.MayHaveRun {
			t.Errorf("got %+v, want no reply, may have run", reply)
		}
	}
	if v.client.Budget.Used() != 0 {
		t.Errorf("got %d bytes still held, want none", v.client.Budget.Used())
	}
}
