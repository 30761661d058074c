// Package zlcast carries news of the platform's store between the VMs of a data
// centre: datagrams that tell what is known and bring small news, and a fetch
// over TCP for what is larger or was lost. Datagrams fit here better than
// connections between all VMs: each is of use only for moments, and the next one
// makes up for a lost one.
package zlcast

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"zinnialock/core/process/zlbalancer"
	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlpoller"
	"zinnialock/core/version/zlwatcher"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// beatEach is the time between beats of a VM that asks the store: a third
	// of the shortest time that a confirmation counts.
	beatEach = 250 * time.Millisecond
	// beatFresh is up to what age a VM's own confirmation is told to others.
	beatFresh = 2 * time.Second
	// datagramMost is what fits a datagram without being cut, in bytes.
	datagramMost = 1200
	// opinionsEach is the time between tellings of opinions: a third of the time
	// for which they count; each is lengthened by up to opinionsJitter.
	opinionsEach   = 500 * time.Millisecond
	opinionsJitter = 0.2
	// fetchLimit bounds a fetch: 200 KB over a link of 20 Mbit/s that ten
	// others use as well take 0.8 s.
	fetchLimit = 1500 * time.Millisecond
	// fetchMost bounds what is read of one, in bytes.
	fetchMost = 16 << 20
	fetchPath = "/news/"
	// fetchPause is the least time between two fetches.
	fetchPause = 30 * time.Millisecond
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	KindListen Kind = "listen"
	KindFetch  Kind = "fetch"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("zlcast: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Cast sends and takes messages at Address, over UDP and TCP. Exported fields
// must be set before Open; Opinions, Heard and Sink may be nil.
type Cast struct {
	Address  string
	VM       zlunit.VM
	Timer    *zltimer.Service
	Feed     *zlpoller.Policy
	Follower *zlwatcher.Watcher
	Sink     zldecision.Sink
	// Opinions are this VM's, told to the others; Heard takes theirs.
	Opinions func() []zlbalancer.HealthReport
	Heard    func(vm zlunit.VM, list []zlbalancer.HealthReport)
	Done     <-chan struct{}

	socket   *net.UDPConn
	listener net.Listener
	client   *http.Client
	lacks    chan string
	turn     atomic.Uint32
	mu       sync.Mutex
	peers    map[string]*net.UDPAddr
}

// Open binds the address.
func (c *Cast) Open() error {
	addr, err := net.ResolveUDPAddr("udp4", c.Address)
	if err != nil {
		return &Error{
			Op:   "open",
			Kind: KindListen,
			Err:  err,
		}
	}
	if c.socket, err = net.ListenUDP("udp4", addr); err != nil {
		return &Error{
			Op:   "open",
			Kind: KindListen,
			Err:  err,
		}
	}
	if c.listener, err = net.Listen("tcp", c.Address); err != nil {
		_ = c.socket.Close()
		return &Error{
			Op:   "open",
			Kind: KindListen,
			Err:  err,
		}
	}
	c.lacks = make(chan string, 1)
	c.peers = map[string]*net.UDPAddr{}
	c.client = &http.Client{
		Timeout: fetchLimit,
	}
	return nil
}

// Run sends beats and takes messages until Done is closed.
func (c *Cast) Run() {
	server := &http.Server{
		Handler:           http.HandlerFunc(c.serve),
		ReadHeaderTimeout: fetchLimit,
	}
	var group sync.WaitGroup
	group.Go(c.receive)
	group.Go(c.fetches)
	group.Go(func() {
		if err := server.Serve(c.listener); err != nil && !c.closed() {
			c.lost(err)
		}
	})
	group.Go(func() {
		c.Timer.Subscribe(c.Done, beatEach, 0, func() {
			c.beat(0, nil)
		})
	})
	if c.Opinions != nil {
		group.Go(func() {
			c.Timer.Subscribe(c.Done, opinionsEach, opinionsJitter, c.sayOpinions)
		})
	}
	<-c.Done
	_ = c.socket.Close()
	_ = server.Close()
	c.client.CloseIdleConnections()
	group.Wait()
}

func (c *Cast) closed() bool {
	select {
	case <-c.Done:
		return true
	default:
		return false
	}
}

func (c *Cast) lost(err error) {
	if c.Sink != nil {
		c.Sink.Record(&zldecision.Dependency{
			Name:  "cast",
			State: "failed",
			Why:   err.Error(),
		})
	}
}

// Tell brings news of the store to the others; large news are fetched.
func (c *Cast) Tell(t zlwatcher.Topic, d *zlwatcher.Delta) {
	c.beat(t, d)
}

// sayOpinions tells the others which replicas are slow or fail.
func (c *Cast) sayOpinions() {
	list := c.Opinions()
	if len(list) == 0 {
		return
	}
	c.send(&message{
		VM:        c.VM,
		AgeMicros: -1,
		Opinions:  list,
	})
}

// beat tells the others what the store confirmed, if it did lately.
func (c *Cast) beat(t zlwatcher.Topic, d *zlwatcher.Delta) {
	at := c.Follower.ConfirmedAt()
	age := c.Timer.Now().Sub(at)
	if at.IsZero() || age > beatFresh {
		if d == nil {
			return
		}
		age = -1
	}
	m := &message{
		VM:        c.VM,
		AgeMicros: age.Microseconds(),
		Revisions: c.Follower.Revisions(),
	}
	if age < 0 {
		m.AgeMicros = -1
	}
	if d != nil {
		m.Topic = t
		m.News = toWire(d)
	}
	c.send(m)
}

func (c *Cast) send(m *message) {
	m.Turn = c.turn.Add(1)
	data, err := cbor.Marshal(m)
	if err == nil && len(data) > datagramMost && m.News != nil {
		m.News = nil
		data, err = cbor.Marshal(m)
	}
	if err != nil {
		c.lost(err)
		return
	}
	for _, g := range c.Feed.Groups(m.Turn) {
		c.sendTo(g.Forwarder, data)
	}
}

func (c *Cast) sendTo(member zlpoller.Member, data []byte) {
	if addr := c.resolve(member.Address); addr != nil {
		// A datagram that is lost is made up for by the next beat.
		_, _ = c.socket.WriteToUDP(data, addr)
	}
}

func (c *Cast) resolve(address string) *net.UDPAddr {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr, ok := c.peers[address]
	if !ok {
		addr, _ = net.ResolveUDPAddr("udp4", address)
		c.peers[address] = addr
	}
	return addr
}

func (c *Cast) receive() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := c.socket.ReadFromUDP(buffer)
		if err != nil {
			if !c.closed() {
				c.lost(err)
			}
			return
		}
		var m message
		if err := decoder.Unmarshal(buffer[:n], &m); err != nil {
			c.lost(eris.Wrapf(err, "datagram of %v", from))
			continue
		}
		for _, member := range c.Feed.ForwardTargets(m.VM, m.Turn) {
			c.sendTo(member, buffer[:n])
		}
		c.take(&m, from.String())
	}
}

func (c *Cast) take(m *message, from string) {
	if m.News != nil && m.Topic >= 0 && int(m.Topic) < zlwatcher.NumTopics {
		c.Follower.ApplyPeerDelta(m.Topic, fromWire(m.News))
	}
	if len(m.Opinions) > 0 {
		if c.Heard != nil {
			c.Heard(m.VM, m.Opinions)
		}
		return
	}
	if c.Feed.HandleHeartbeat(m.beat()) {
		select {
		case c.lacks <- from:
		default:
		}
	}
}

// fetches gets what beats told of and datagrams did not bring.
func (c *Cast) fetches() {
	for {
		select {
		case <-c.Done:
			return
		case from := <-c.lacks:
			if err := c.fetch(from); err != nil && !c.closed() {
				c.lost(err)
			}
			c.Timer.Sleep(c.Done, fetchPause)
		}
	}
}

func (c *Cast) fetch(from string) error {
	have := c.Follower.Revisions()
	for t := range zlwatcher.NumTopics {
		if err := c.fetchTopic(from, zlwatcher.Topic(t), have[t]); err != nil {
			return &Error{
				Op:   from,
				Kind: KindFetch,
				Err:  err,
			}
		}
	}
	return nil
}

func (c *Cast) fetchTopic(from string, t zlwatcher.Topic, have uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), fetchLimit)
	defer cancel()
	url := "http://" + from + fetchPath + strconv.Itoa(int(t)) + "?have=" + strconv.FormatUint(have, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	data, err := io.ReadAll(io.LimitReader(resp.Body, fetchMost))
	switch {
	case err != nil:
		return err
	case resp.StatusCode == http.StatusNoContent:
		return nil
	case resp.StatusCode != http.StatusOK:
		return eris.Errorf("status %d", resp.StatusCode)
	}
	var d delta
	if err := decoder.Unmarshal(data, &d); err != nil {
		return err
	}
	c.Follower.ApplyPeerDelta(t, fromWire(&d))
	return nil
}

// serve answers a fetch.
func (c *Cast) serve(w http.ResponseWriter, r *http.Request) {
	if len(r.URL.Path) <= len(fetchPath) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	t, err := strconv.Atoi(r.URL.Path[len(fetchPath):])
	have, err2 := strconv.ParseUint(r.URL.Query().Get("have"), 10, 64)
	if err != nil || err2 != nil || t < 0 || t >= zlwatcher.NumTopics {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d := c.Follower.DeltaSince(zlwatcher.Topic(t), have)
	if d == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	data, err := cbor.Marshal(toWire(d))
	if err != nil {
		c.lost(err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(data); err != nil && !c.closed() {
		c.lost(err)
	}
}
