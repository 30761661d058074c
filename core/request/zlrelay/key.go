package zlrelay

import (
	"net/http"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
)

// checkKey returns the organisation of a caller's request, nil if it has none, or the reason
// why the request is refused. It sets what the request holds of the organisation.
func (r *Relay) checkKey(view *zlregistry.View, route *zltable.Route, req *Request) (*zltable.Organisation, zldecision.Reason) {
	keys := view.KeyTable()
	if !keys.NeedsKeys() {
		return nil, ""
	}
	var o *zltable.Organisation
	confirmed := r.keysConfirmed(view)
	if req.Key != nil && confirmed {
		o = keys.Lookup(req.Key)
	}
	if o == nil && !allowsAnonymous(view, route, req) {
		switch {
		case !confirmed:
			return nil, zldecision.ReasonKeysUnconfirmed
		case req.Key == nil:
			return nil, zldecision.ReasonNoKey
		default:
			return nil, zldecision.ReasonUnknownKey
		}
	}
	name := zlunit.Organisation("")
	if o != nil {
		name = o.Name
	}
	return r.identify(view, req, name), ""
}

// identify sets the organisation of a request that is allowed, empty for an anonymous
// caller. It returns the organisation as the table has it, nil if that does not name it.
func (r *Relay) identify(view *zlregistry.View, req *Request, name zlunit.Organisation) *zltable.Organisation {
	keys := view.KeyTable()
	if !keys.NeedsKeys() {
		return nil
	}
	req.Organisation = name
	if req.Message.Header == nil {
		req.Message.Header = http.Header{}
	}
	if r.SetOrganisation != nil {
		r.SetOrganisation(req.Message.Header, name)
	}
	return keys.Organisation(name)
}

// allowsAnonymous reports whether callers of a request need no key. The route of the table
// that has the keys decides, if that table has one for the request.
func allowsAnonymous(view *zlregistry.View, route *zltable.Route, req *Request) bool {
	keys := view.KeyTable()
	if !keys.NeedsKeys() {
		return true
	}
	if keys != view.Table {
		if newer, ok := keys.Match(req.Message.Host, req.Message.Path); ok {
			return newer.AllowAnonymous
		}
	}
	return route.AllowAnonymous
}

// keysConfirmed reports whether the keys may be relied on. They always may, unless the
// deployment refuses callers at a VM that is out of contact.
func (r *Relay) keysConfirmed(view *zlregistry.View) bool {
	if !r.Settings.FailClosed {
		return true
	}
	at := r.KeysConfirmedAt(view)
	// If the wall clock was set forward, callers are refused until the next confirmation.
	return !at.IsZero() && zltimer.Elapsed(at, r.Timer.Now()) <= r.Settings.RevokeTimeout
}

// KeysConfirmedAt returns the time as of which the keys are known; zero if they never were, or
// if callers need none.
func (r *Relay) KeysConfirmedAt(view *zlregistry.View) time.Time {
	switch {
	case view.Table == nil || !view.KeyTable().NeedsKeys():
		return time.Time{}
	case r.TableConfirmedAt != nil:
		return r.TableConfirmedAt()
	default:
		return view.TableAt
	}
}

// refuseKey refuses a request for its key. A refusal that comes from the table is final, so
// that it has no advice when to retry.
func (r *Relay) refuseKey(view *zlregistry.View, req *Request, route *zltable.Route, reason zldecision.Reason) Answer {
	if reason == zldecision.ReasonKeysUnconfirmed {
		return r.refuse(view, req, route, reason, "")
	}
	r.note(&zldecision.Refused{
		Subject: r.subject(view, req, route),
		Reason:  reason,
	})
	return &Refused{
		Reason: reason,
	}
}
