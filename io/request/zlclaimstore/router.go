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

// Peers sends requests to other daemons.
type Peers interface {
	// Request sends body to the daemon at the peer address addr and returns its
	// reply. It may be called concurrently.
	Request(ctx context.Context, addr, topic string, body []byte) ([]byte, error)
}

// The topics of requests between daemons. Their bodies are JSON.
const (
	// TopicClaim is a zlclaim.ClaimRequest for the writer of its segment.
	TopicClaim = "claim"
	// TopicOutcome is a zlclaim.Outcome for the writer of its segment.
	TopicOutcome = "claimOutcome"
	// TopicAnswer is a zlclaim.Ref; the reply is the zlquery.Answer if known.
	TopicAnswer = "claimAnswer"
)

const (
	// writersPerSegment is the number of daemons that are tried as writers of a
	// segment, one after the other, before a daemon writes to it itself.
	writersPerSegment = 2
	// claimTimeout and outcomeTimeout bound a request to one writer. Outcomes get
	// longer since the writer delays them to share the write of a claim.
	claimTimeout   = 400 * time.Millisecond
	outcomeTimeout = 3 * time.Second
	// minBackoff is how long a writer is skipped after a failed request. The time
	// doubles with each further failure, up to maxBackoff.
	minBackoff = 2 * time.Second
	maxBackoff = 32 * time.Second
)

// Router is a zlclaim.Claimer that sends each claim to the daemon that writes
// its segment, so that the claims of the whole fleet share writes. The choice of
// the writer does not affect correctness: concurrent writers of one segment are
// serialised by the platform's conditional update. The exported fields must be set
// before use; the methods may be called concurrently.
type Router struct {
	// Self is the VM of this daemon.
	Self zlunit.VM
	// Views has the members and the marks of the fleet.
	Views *zlview.CurrentView
	// Timer is the clock.
	Timer *zltimer.Service
	// Local writes the segments of which this daemon is the writer.
	Local *zlclaim.Writers
	// Peers sends requests to other daemons.
	Peers Peers
	// Answers has the answers that this daemon gave.
	Answers *zlclaim.AnswerCache

	// mu guards the fields below.
	mu sync.Mutex
	// rankedView is the view that rankedVMs was computed from.
	rankedView *zlview.View
	// rankedVMs lists the candidates for the writer of each segment, best first.
	rankedVMs [zlclaim.Segments][]zlunit.VM
	backoffs  map[zlunit.VM]writerBackoff
}

var (
	_ zlclaim.Claimer       = (*Router)(nil)
	_ zlclaim.AnswerFetcher = (*Router)(nil)
)

// writerBackoff is the time until which a daemon is skipped as a writer, and the
// duration of that backoff.
type writerBackoff struct {
	until    time.Time
	duration time.Duration
}

// claimReply is the reply of a writer. Fault is the error of the store, empty if
// there was none.
type claimReply struct {
	Reply zlclaim.Reply `json:"reply"`
	Fault string        `json:"fault,omitempty"`
}

// Claim implements zlclaim.Claimer.
func (r *Router) Claim(ctx context.Context, request zlclaim.ClaimRequest) (zlclaim.Reply, error) {
	return r.route(ctx, zlclaim.SegmentOf(request.ID), TopicClaim, request, func(ctx context.Context) (zlclaim.Reply, error) {
		return r.Local.Claim(ctx, request)
	})
}

// Record implements zlclaim.Claimer.
func (r *Router) Record(ctx context.Context, outcome zlclaim.Outcome) error {
	_, err := r.route(ctx, zlclaim.SegmentOf(outcome.ID), TopicOutcome, outcome, func(ctx context.Context) (zlclaim.Reply, error) {
		return zlclaim.Reply{}, r.Local.Record(ctx, outcome)
	})
	return err
}

// route sends message to the writers of segment s in turn and returns the first
// reply. It calls local if this daemon is the next writer or no writer replied. A
// claim that two writers receive is still one claim, since both carry its nonce.
func (r *Router) route(ctx context.Context, s zlclaim.Segment, topic string, message any, local func(context.Context) (zlclaim.Reply, error)) (zlclaim.Reply, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return zlclaim.Reply{}, err
	}
	var storeErr error
	for _, vm := range r.writers(s) {
		if vm == r.Self {
			return local(ctx)
		}
		reply, err := r.sendTo(ctx, vm, topic, body)
		switch {
		case err != nil:
			r.backOff(vm)
		case reply.Fault != "":
			storeErr = &zlclaim.Error{
				Op:   topic,
				Kind: zlclaim.KindStore,
				Err:  eris.New(reply.Fault),
			}
		default:
			r.clearBackoff(vm)
			return reply.Reply, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	if storeErr != nil {
		return zlclaim.Reply{}, storeErr
	}
	return local(ctx)
}

// sendTo sends a request to the daemon on vm.
func (r *Router) sendTo(ctx context.Context, vm zlunit.VM, topic string, body []byte) (claimReply, error) {
	var out claimReply
	member, ok := r.Views.Load().Peer(vm)
	if !ok {
		return out, eris.Errorf("VM %q is not in the roster", vm)
	}
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(topic))
	defer cancel()
	data, err := r.Peers.Request(ctx, member.Peer, topic, body)
	if err != nil {
		return out, err
	}
	return out, json.Unmarshal(data, &out)
}

// timeoutOf returns the timeout of a request to a writer.
func timeoutOf(topic string) time.Duration {
	if topic == TopicOutcome {
		return outcomeTimeout
	}
	return claimTimeout
}

// backOff skips vm as a writer for the next backoff period. Failures during a period
// do not extend it.
func (r *Router) backOff(vm zlunit.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.backoffs == nil {
		r.backoffs = map[zlunit.VM]writerBackoff{}
	}
	now := r.Timer.Now()
	last := r.backoffs[vm]
	if now.Before(last.until) {
		return
	}
	duration := min(max(minBackoff, 2*last.duration), maxBackoff)
	r.backoffs[vm] = writerBackoff{
		until:    now.Add(duration),
		duration: duration,
	}
}

// clearBackoff resets the backoff of a daemon that replied.
func (r *Router) clearBackoff(vm zlunit.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.backoffs, vm)
}

// writers returns up to writersPerSegment daemons to try for segment s, best first:
// those with the highest rendezvous hash that are not in backoff.
func (r *Router) writers(s zlclaim.Segment) []zlunit.VM {
	view := r.Views.Load()
	if view == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rankedView != view {
		r.rank(view)
	}
	now := r.Timer.Now()
	out := make([]zlunit.VM, 0, writersPerSegment)
	for _, vm := range r.rankedVMs[s] {
		if now.Before(r.backoffs[vm].until) {
			continue
		}
		out = append(out, vm)
		if len(out) == writersPerSegment {
			break
		}
	}
	return out
}

// rankedPerSegment is the number of candidates that are kept for each segment.
const rankedPerSegment = 8

// scoredVM is a VM with its rendezvous hash for a segment.
type scoredVM struct {
	vm    zlunit.VM
	score uint64
}

// rank computes rankedVMs from the daemons of view that are in service. The caller
// holds mu.
func (r *Router) rank(view *zlview.View) {
	r.rankedView = view
	for s := range r.rankedVMs {
		var all []scoredVM
		for dc, roster := range view.Rosters {
			for _, m := range roster.Members {
				if !view.Marks.VMOut(m.VM, dc) {
					all = append(all, scoredVM{
						vm:    m.VM,
						score: xxhash.Sum64String(string(m.VM) + "\x00" + strconv.Itoa(s)),
					})
				}
			}
		}
		slices.SortFunc(all, func(a, b scoredVM) int {
			if a.score > b.score {
				return -1
			}
			return 1
		})
		r.rankedVMs[s] = nil
		for _, c := range all[:min(rankedPerSegment, len(all))] {
			r.rankedVMs[s] = append(r.rankedVMs[s], c.vm)
		}
	}
}
