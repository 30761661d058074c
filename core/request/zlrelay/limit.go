package zlrelay

import (
	"context"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

// limited serves a request of a caller within the limit of its organisation, which is nil if
// it has none. A request that is refused for another reason does not count. Hedges, retries
// and forwards belong to the request that was counted here.
func (r *Relay) limited(ctx context.Context, view *zlregistry.View, route *zltable.Route, req *Request, o *zltable.Organisation, serve func() Answer) Answer {
	if r.Limiter == nil || o == nil {
		return serve()
	}
	grant, denial, ok := r.Limiter.Acquire(ctx, *o)
	switch {
	case ok:
		answer := serve()
		if _, refused := answer.(*Refused); refused {
			grant.Return()
		}
		return answer
	case ctx.Err() != nil:
		r.note(&zldecision.Failed{
			Subject: r.subject(view, req, route),
			Reason:  zldecision.ReasonCallerLeft,
		})
		return nil
	default:
		reason := zldecision.ReasonOrganisationLimit
		if denial.NoKeeper {
			reason = zldecision.ReasonNoKeeper
		} else {
			r.shares.Account(o.Name).MarkAtLimit(r.Timer.Now())
		}
		return r.refuseLimited(view, req, route, reason, denial.RetryAfter)
	}
}

// refuseLimited refuses a request that got no token of its organisation's limit. The advice is when
// there will be room for it, also if that is after the caller's deadline.
func (r *Relay) refuseLimited(view *zlregistry.View, req *Request, route *zltable.Route, reason zldecision.Reason, retryAfter time.Duration) Answer {
	r.note(&zldecision.Refused{
		Subject:    r.subject(view, req, route),
		Reason:     reason,
		RetryAfter: retryAfter,
	})
	return &Refused{
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}
