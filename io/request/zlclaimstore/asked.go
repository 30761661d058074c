package zlclaimstore

import (
	"context"
	"encoding/json"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlclaim"
	"zinnialock/core/request/zlquery"

	"github.com/rotisserie/eris"
)

// FetchAnswer implements zlclaim.AnswerFetcher.
func (r *Router) FetchAnswer(ctx context.Context, holder zlunit.VM, ref zlclaim.Ref) *zlquery.Answer {
	member, ok := r.Views.Load().Peer(holder)
	if !ok {
		return nil
	}
	body, err := json.Marshal(ref)
	if err != nil {
		return nil
	}
	data, err := r.Peers.Ask(ctx, member.Peer, TopicAnswer, body)
	if err != nil || len(data) == 0 {
		return nil
	}
	var a zlquery.Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return nil
	}
	return &a
}

// Asked answers other daemons' questions; handled is false for a topic that is
// not of this package.
func (r *Router) Asked(ctx context.Context, topic string, body []byte) (reply []byte, handled bool, err error) {
	switch topic {
	case TopicClaim:
		var ask zlclaim.ClaimRequest
		if err := json.Unmarshal(body, &ask); err != nil {
			return nil, true, eris.Wrap(err, topic)
		}
		reply, err = r.serve(ctx, topic, func(ctx context.Context) (zlclaim.Reply, error) {
			return r.Local.Claim(ctx, ask)
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

// serve does another daemon's question and gives up before that daemon does,
// so that it hears of a failing store.
func (r *Router) serve(ctx context.Context, topic string, do func(context.Context) (zlclaim.Reply, error)) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, waitOf(topic)*3/4)
	defer cancel()
	var out claimReply
	reply, err := do(ctx)
	out.Reply = reply
	if err != nil {
		out.Fault = err.Error()
	}
	return json.Marshal(out)
}
