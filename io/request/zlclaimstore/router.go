package zlclaimstore

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlclaim"
	"zinnialock/core/version/zlview"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Peers asks other daemons.
type Peers interface {
	Ask(ctx context.Context, addr, topic string, body []byte) ([]byte, error)
}

// The topics of questions between daemons.
const (
	TopicClaim   = "claim"
	TopicOutcome = "claimOutcome"
	TopicAnswer  = "claimAnswer"
)

const (
	// writersPerSegment is how many daemons are asked to write to a segment,
	// one after the other, before a daemon writes itself.
	writersPerSegment = 2
	// claimWait and outcomeWait bound a question to one writer. Outcomes wait
	// at the writer for a claim to share its write.
	claimWait   = 400 * time.Millisecond
	outcomeWait = 3 * time.Second
	// avoidFor is how long a writer that did not reply is left out, twice as
	// long after each further time, up to maxAvoid.
	avoidFor = 2 * time.Second
	maxAvoid = 32 * time.Second
)

// Router is a zlclaim.Claimer that sends each claim to the daemon that writes
// its segment, so that the claims of the whole fleet share writes. Which daemon
// writes is no matter of safety: two that write one segment meet at the
// platform's conditional update.
type Router struct {
	Self    zlunit.VM
	Views   *zlview.CurrentView
	Timer   *zltimer.Service
	Local   *zlclaim.Writers
	Peers   Peers
	Answers *zlclaim.AnswerCache

	mu    sync.Mutex
	view  *zlview.View
	order [zlclaim.Segments][]zlunit.VM
	avoid map[zlunit.VM]avoidance
}

var (
	_ zlclaim.Claimer       = (*Router)(nil)
	_ zlclaim.AnswerFetcher = (*Router)(nil)
)

// avoidance tells until when a daemon is left out, and how long that is.
type avoidance struct {
	until  time.Time
	length time.Duration
}

// claimReply is a writer's reply; Fault tells that the store failed it.
type claimReply struct {
	Reply zlclaim.Reply `json:"reply"`
	Fault string        `json:"fault,omitempty"`
}

// Claim implements zlclaim.Claimer.
func (r *Router) Claim(ctx context.Context, ask zlclaim.ClaimRequest) (zlclaim.Reply, error) {
	return r.send(ctx, zlclaim.SegmentOf(ask.ID), TopicClaim, ask, func(ctx context.Context) (zlclaim.Reply, error) {
		return r.Local.Claim(ctx, ask)
	})
}

// Record implements zlclaim.Claimer.
func (r *Router) Record(ctx context.Context, outcome zlclaim.Outcome) error {
	_, err := r.send(ctx, zlclaim.SegmentOf(outcome.ID), TopicOutcome, outcome, func(ctx context.Context) (zlclaim.Reply, error) {
		return zlclaim.Reply{}, r.Local.Record(ctx, outcome)
	})
	return err
}

// send tries the segment's writers in turn. An ask carries its nonce, so one
// that two writers receive is still one claim.
func (r *Router) send(ctx context.Context, s zlclaim.Segment, topic string, message any, local func(context.Context) (zlclaim.Reply, error)) (zlclaim.Reply, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return zlclaim.Reply{}, err
	}
	var fault error
	for _, vm := range r.writers(s) {
		if vm == r.Self {
			return local(ctx)
		}
		reply, err := r.ask(ctx, vm, topic, body)
		switch {
		case err != nil:
			r.shun(vm)
		case reply.Fault != "":
			fault = &zlclaim.Error{
				Op:   topic,
				Kind: zlclaim.KindStore,
				Err:  eris.New(reply.Fault),
			}
		default:
			r.trust(vm)
			return reply.Reply, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	if fault != nil {
		return zlclaim.Reply{}, fault
	}
	return local(ctx)
}

func (r *Router) ask(ctx context.Context, vm zlunit.VM, topic string, body []byte) (claimReply, error) {
	var out claimReply
	member, ok := r.Views.Load().Peer(vm)
	if !ok {
		return out, eris.Errorf("no daemon %q in the roster", vm)
	}
	ctx, cancel := context.WithTimeout(ctx, waitOf(topic))
	defer cancel()
	data, err := r.Peers.Ask(ctx, member.Peer, topic, body)
	if err != nil {
		return out, err
	}
	return out, json.Unmarshal(data, &out)
}

func waitOf(topic string) time.Duration {
	if topic == TopicOutcome {
		return outcomeWait
	}
	return claimWait
}

func (r *Router) shun(vm zlunit.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.avoid == nil {
		r.avoid = map[zlunit.VM]avoidance{}
	}
	now := r.Timer.Now()
	last := r.avoid[vm]
	if now.Before(last.until) {
		return
	}
	length := min(max(avoidFor, 2*last.length), maxAvoid)
	r.avoid[vm] = avoidance{
		until:  now.Add(length),
		length: length,
	}
}

// trust ends the avoidance of a daemon that replied.
func (r *Router) trust(vm zlunit.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.avoid, vm)
}

// writers returns the daemons to ask for a segment, best first: the two of the
// largest rendezvous score that replied when last asked.
func (r *Router) writers(s zlclaim.Segment) []zlunit.VM {
	view := r.Views.Load()
	if view == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view != view {
		r.rank(view)
	}
	now := r.Timer.Now()
	out := make([]zlunit.VM, 0, writersPerSegment)
	for _, vm := range r.order[s] {
		if now.Before(r.avoid[vm].until) {
			continue
		}
		out = append(out, vm)
		if len(out) == writersPerSegment {
			break
		}
	}
	return out
}

// candidates is how many daemons are ranked for a segment.
const candidates = 8

type ranked struct {
	vm    zlunit.VM
	score uint64
}

// rank orders the daemons in service for every segment; mu is held.
func (r *Router) rank(view *zlview.View) {
	r.view = view
	for s := range r.order {
		var all []ranked
		for dc, roster := range view.Rosters {
			for _, m := range roster.Members {
				if !view.Marks.VMOut(m.VM, dc) {
					all = append(all, ranked{
						vm:    m.VM,
						score: xxhash.Sum64String(string(m.VM) + "\x00" + strconv.Itoa(s)),
					})
				}
			}
		}
		slices.SortFunc(all, func(a, b ranked) int {
			if a.score > b.score {
				return -1
			}
			return 1
		})
		r.order[s] = nil
		for _, c := range all[:min(candidates, len(all))] {
			r.order[s] = append(r.order[s], c.vm)
		}
	}
}
