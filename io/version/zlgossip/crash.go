package zlgossip

import (
	"context"
	"sync"

	"zinnialock/core/process/zlquarantine"
)

// maxCrashReports bounds the reports that wait to be passed on. Beyond that they are
// dropped: what is in quarantine travels with the rounds as well.
const maxCrashReports = 256

// crashReply is the empty reply to a report.
type crashReply struct{}

// SendCrashReport sends a report on queries that crash upstreams to the neighbours, which
// pass it on. It does not block.
func (g *Gossip) SendCrashReport(report *zlquarantine.Report) {
	g.init()
	select {
	case g.crashReports <- report:
	default:
		g.count("gossipDropped", "crashReport")
	}
}

// runCrashReports sends the reports to all neighbours until ctx ends.
func (g *Gossip) runCrashReports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case report := <-g.crashReports:
			g.sendToNeighbours(ctx, report)
		}
	}
}

func (g *Gossip) sendToNeighbours(ctx context.Context, report *zlquarantine.Report) {
	var wg sync.WaitGroup
	for _, t := range g.allTargets() {
		wg.Go(func() {
			err := g.request(ctx, requestTimeout, t.addr, TopicCrash, report, &crashReply{})
			g.recordResult(t.vm, err)
		})
	}
	wg.Wait()
}

// answerCrash takes in a report and passes on what is new in it, so that it reaches all
// daemons and ends there.
func (g *Gossip) answerCrash(body []byte) ([]byte, error) {
	var report zlquarantine.Report
	if err := decode(body, &report); err != nil {
		return nil, err
	}
	if g.Quarantine != nil {
		if news := g.Quarantine.Apply(&report); news != nil {
			g.SendCrashReport(news)
		}
	}
	return encode(crashReply{})
}
