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

// topicBeat is the topic of heartbeats and questions between daemons.
const topicBeat = "fleet/beat"

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
	d.aggregator.Leases = d.fleet
	d.aggregator.OnChange = d.noteUpstream
}

// drained closes idle connections to an upstream that is not held any more
// and reports whether nothing is left there.
func (d *Daemon) drained(u zlunit.Upstream) bool {
	closed := d.calls.Drain(u)
	return d.aggregator.Drained(u) && closed
}

// answerBeat answers a heartbeat or question of another daemon.
func (d *Daemon) answerBeat(body []byte) ([]byte, error) {
	var b zllease.Heartbeat
	if err := cbor.Unmarshal(body, &b); err != nil {
		return nil, eris.Wrap(err, "beat")
	}
	e := d.fleet.Answer(&b)
	return cbor.Marshal(&e)
}

// peers sends beats through the node.
type peers struct {
	node *zlpeer.Node
}

// Heartbeat implements zlfleet.Peers.
func (p *peers) Heartbeat(ctx context.Context, addr string, b *zllease.Heartbeat) (*zllease.HeartbeatReply, error) {
	body, err := cbor.Marshal(b)
	if err != nil {
		return nil, eris.Wrap(err, "beat")
	}
	reply, err := p.node.Ask(ctx, addr, topicBeat, body)
	if err != nil {
		return nil, err
	}
	var e zllease.HeartbeatReply
	if err := cbor.Unmarshal(reply, &e); err != nil {
		return nil, eris.Wrap(err, "echo")
	}
	return &e, nil
}

// refusedWait is how long the kernel's answer is waited for.
const refusedWait = 300 * time.Millisecond

// ConnectionRefused implements zlfleet.Peers by a datagram to a connected socket, which
// the kernel of the other machine answers if no process has the port.
func (p *peers) ConnectionRefused(ctx context.Context, addr string) bool {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "udp", addr)
	if err != nil {
		return false
	}
	defer func() {
		_ = conn.Close()
	}()
	_ = conn.SetDeadline(time.Now().Add(refusedWait))
	if _, err := conn.Write([]byte{0}); err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_, err = conn.Read(make([]byte, 1))
	return errors.Is(err, syscall.ECONNREFUSED)
}
