package zlbroadcast

import (
	"math/rand/v2"
	"net"
	"time"

	"zinnialock/core/process/zlquarantine"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxCrashReports bounds the reports that wait to be sent. Beyond that they are
	// dropped: what is in quarantine travels with the heartbeats as well.
	maxCrashReports = 256
	// maxCrashesPerMessage is how many crashes fit a datagram.
	maxCrashesPerMessage = 12
	// quarantinePeriod is the number of heartbeats of which one has the list of requests
	// in quarantine: 4 s.
	quarantinePeriod = 16
	// askPeriod is the time between questions for the requests in quarantine after a start,
	// maxAsked how many VMs are asked each time, and learnTime how long.
	askPeriod = 50 * time.Millisecond
	maxAsked  = 3
	learnTime = time.Second
)

// SendCrashReport sends a report on requests that crash replicas to the VMs of all data
// centres. It does not block.
func (b *Broadcaster) SendCrashReport(report *zlquarantine.Report) {
	select {
	case b.crashReports <- report:
	default:
	}
}

// runCrashReports sends the reports, those that wait in one message.
func (b *Broadcaster) runCrashReports() {
	for {
		select {
		case <-b.Done:
			return
		case report := <-b.crashReports:
			b.sendAll(&message{
				VM:        b.VM,
				AgeMicros: -1,
				Crash:     b.joinReports(report),
			})
		}
	}
}

// joinReports adds the reports that wait to the first one, as far as they fit a message.
func (b *Broadcaster) joinReports(first *zlquarantine.Report) *zlquarantine.Report {
	out := *first
	for len(out.Crashes)+len(out.Cleared) < maxCrashesPerMessage {
		select {
		case next := <-b.crashReports:
			out.Crashes = append(out.Crashes, next.Crashes...)
			out.Cleared = append(out.Cleared, next.Cleared...)
		default:
			return &out
		}
	}
	return &out
}

// quarantineReport returns the requests in quarantine for each quarantinePeriod-th
// heartbeat, or nil.
func (b *Broadcaster) quarantineReport() *zlquarantine.Report {
	if b.Quarantine == nil || b.heartbeats.Add(1)%quarantinePeriod != 0 {
		return nil
	}
	list := b.Quarantine.Quarantined()
	if len(list) == 0 {
		return nil
	}
	return &zlquarantine.Report{
		Quarantined: list,
	}
}

// learnQuarantine asks other VMs what they have in quarantine until one has told: a process
// that just started has to know before it sends requests. If none tells, as after a start of
// all VMs, it goes on without.
func (b *Broadcaster) learnQuarantine() {
	end := b.Timer.Now().Add(learnTime)
	b.Timer.Subscribe(b.Quarantine.Known(), askPeriod, 0, func() {
		if b.closed() || !b.Timer.Now().Before(end) {
			b.Quarantine.MarkKnown()
			return
		}
		b.AskQuarantine()
	})
}

// AskQuarantine asks a few other VMs what they have in quarantine unless this VM knows. It
// is called when the other VMs become known, and may be called after Open.
func (b *Broadcaster) AskQuarantine() {
	if b.Quarantine.IsKnown() {
		return
	}
	groups := b.PollPolicy.AllGroups(b.sequence.Load())
	for _, i := range rand.Perm(len(groups))[:min(len(groups), maxAsked)] {
		b.sendMessageTo(b.resolve(groups[i].Forwarder.Address), &message{
			VM:        b.VM,
			AgeMicros: -1,
			Ask:       true,
		})
	}
}

// handleCrash takes in what a message says of requests that crash replicas, and reports
// whether there is nothing else in it. A VM that does not know itself tells nothing.
func (b *Broadcaster) handleCrash(m *message, from *net.UDPAddr) bool {
	if m.Ask && !b.Quarantine.IsKnown() {
		return true
	}
	if m.Ask {
		b.sendMessageTo(from, &message{
			VM:        b.VM,
			AgeMicros: -1,
			Reply:     true,
			Crash: &zlquarantine.Report{
				Quarantined: b.Quarantine.Quarantined(),
			},
		})
		return true
	}
	if m.Crash != nil {
		b.Quarantine.Apply(m.Crash)
	}
	if m.Reply {
		b.Quarantine.MarkKnown()
	}
	return m.Reply || m.Crash != nil && m.AgeMicros < 0 && m.Update == nil
}

func (b *Broadcaster) sendMessageTo(addr *net.UDPAddr, m *message) {
	if addr == nil {
		return
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		b.recordFailure(err)
		return
	}
	// A question that is lost is asked again.
	_, _ = b.socket.WriteToUDP(data, addr)
}
