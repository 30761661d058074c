package zldaemon

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"zinnialock/core/process/zlevent"
	"zinnialock/core/process/zllease"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlquery"
	"zinnialock/core/version/zlroster"
	"zinnialock/io/connection/zlpeer"
	"zinnialock/io/process/zlfleet"
	"zinnialock/io/version/zlsync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// topicHeartbeat is the topic of heartbeats and release queries between daemons.
const topicHeartbeat = "fleet/beat"

// buildFleet creates the membership and connects it to the executor.
func (d *Daemon) buildFleet() {
	d.events = &zlevent.Ring{
		OnEvent: d.journal.event,
	}
	d.fleet = &zlfleet.Fleet{
		Self: zlroster.Member{
			VM:          d.Config.Name,
			Incarnation: zlunit.Incarnation(time.Now().UnixNano()),
			Peer:        d.Config.PeerListen,
		},
		Home:  d.Config.DataCentre,
		Timer: d.timer,
		Views: d.views,
		Store: &zlsync.RosterStore{
			DataCentre: d.Config.DataCentre,
			Platform:   d.platform,
			Timer:      d.timer,
		},
		Peers: &peers{
			node: d.node,
		},
		Events:  d.events,
		Log:     d.Log,
		Drained: d.drained,
		Count: func(what, reason string) {
			d.metrics.Count(what, zlquery.Reason(reason))
		},
	}
	d.fleet.Init()
	d.executor.Leases = d.fleet
	d.executor.OnChange = d.recordUpstreamChange
}

// drained closes the idle connections to an upstream that is not held any more, and
// reports whether this daemon has no request or connection left there.
func (d *Daemon) drained(u zlunit.Upstream) bool {
	closed := d.upstreamCaller.Drain(u)
	return d.executor.Drained(u) && closed
}

// answerHeartbeat processes a heartbeat or release query of another daemon and returns
// the encoded reply.
func (d *Daemon) answerHeartbeat(body []byte) ([]byte, error) {
	var b zllease.Heartbeat
	if err := cbor.Unmarshal(body, &b); err != nil {
		return nil, eris.Wrap(err, "beat")
	}
	reply := d.fleet.Answer(&b)
	return cbor.Marshal(&reply)
}

// peers sends heartbeats through the node.
type peers struct {
	node *zlpeer.Node
}

// Heartbeat implements zlfleet.Peers.
func (p *peers) Heartbeat(ctx context.Context, addr string, b *zllease.Heartbeat) (*zllease.HeartbeatReply, error) {
	body, err := cbor.Marshal(b)
	if err != nil {
		return nil, eris.Wrap(err, "beat")
	}
	data, err := p.node.Request(ctx, addr, topicHeartbeat, body)
	if err != nil {
		return nil, err
	}
	var reply zllease.HeartbeatReply
	if err := cbor.Unmarshal(data, &reply); err != nil {
		return nil, eris.Wrap(err, "echo")
	}
	return &reply, nil
}

// refusedTimeout bounds the wait for the kernel's reply.
const refusedTimeout = 300 * time.Millisecond

// ConnectionRefused implements zlfleet.Peers. It sends a datagram on a connected UDP
// socket; the kernel of the other VM rejects it if no process has the port open.
func (p *peers) ConnectionRefused(ctx context.Context, addr string) bool {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "udp", addr)
	if err != nil {
		return false
	}
	defer func() {
		_ = conn.Close()
	}()
	_ = conn.SetDeadline(time.Now().Add(refusedTimeout))
	if _, err := conn.Write([]byte{0}); err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_, err = conn.Read(make([]byte, 1))
	return errors.Is(err, syscall.ECONNREFUSED)
}
