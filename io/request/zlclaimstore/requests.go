package zlclaimstore

import (
	"context"
	"encoding/json"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlclaim"
	"zinnialock/core/request/zlquery"

	"github.com/rotisserie/eris"
)

// FetchAnswer implements zlclaim.AnswerFetcher with a request to the daemon holder.
func (r *Router) FetchAnswer(ctx context.Context, holder zlunit.VM, ref zlclaim.Ref) *zlquery.Answer {
	member, ok := r.Views.Load().Peer(holder)
	if !ok {
		return nil
	}
	body, err := json.Marshal(ref)
	if err != nil {
		return nil
	}
	data, err := r.Peers.Request(ctx, member.Peer, TopicAnswer, body)
	if err != nil || len(data) == 0 {
		return nil
	}
	var a zlquery.Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return nil
	}
	return &a
}

// HandleRequest serves a request of another daemon. It sets handled to false for a
// topic of another package. The reply to TopicAnswer is empty if this daemon does
// not have the answer.
func (r *Router) HandleRequest(ctx context.Context, topic string, body []byte) (reply []byte, handled bool, err error) {
	switch topic {
	case TopicClaim:
		var request zlclaim.ClaimRequest
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, true, eris.Wrap(err, topic)
		}
		reply, err = r.serve(ctx, topic, func(ctx context.Context) (zlclaim.Reply, error) {
			return r.Local.Claim(ctx, request)
		})
	case TopicOutcome:
		var outcome zlclaim.Outcome
		if err := json.Unmarshal(body, &outcome); err != nil {
			return nil, true, eris.Wrap(err, topic)
		}
		reply, err = r.serve(ctx, topic, func(ctx context.Context) (zlclaim.Reply, error) {
			return zlclaim.Reply{}, r.Local.Record(ctx, outcome)
		})
	case TopicAnswer:
		var ref zlclaim.Ref
		if err := json.Unmarshal(body, &ref); err != nil {
			return nil, true, eris.Wrap(err, topic)
		}
		if a := r.Answers.Get(ref); a != nil {
			reply, err = json.Marshal(a)
		}
	default:
		return nil, false, nil
	}
	return reply, true, err
}

// serve runs do for a request of another daemon. Its timeout is shorter than that
// daemon's, so that an error of the store is reported before the other side gives
// up.
func (r *Router) serve(ctx context.Context, topic string, do func(context.Context) (zlclaim.Reply, error)) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(topic)*3/4)
	defer cancel()
	var out claimReply
	reply, err := do(ctx)
	out.Reply = reply
	if err != nil {
		out.Fault = err.Error()
	}
	return json.Marshal(out)
}
