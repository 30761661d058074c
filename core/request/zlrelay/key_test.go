package zlrelay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

const revokeTimeout = 5 * time.Second

// organisationsOf returns organisations whose keys are their names.
func organisationsOf(names ...zlunit.Organisation) []zltable.Organisation {
	var list []zltable.Organisation
	for _, name := range names {
		list = append(list, zltable.Organisation{
			Name:        name,
			Keys:        []zltable.KeyDigest{zltable.DigestKey(string(name))},
			Priority:    7,
			HasPriority: name == "ranked",
		})
	}
	return list
}

// newKeyRelay returns a relay of a deployment with organisations. Its route /open/ allows
// anonymous callers, /one/ does not.
func newKeyRelay(names ...zlunit.Organisation) *Relay {
	open := singleRoute(true, 2)
	open.Prefix = "/open/"
	open.AllowAnonymous = true
	r := newTestRelay(newScripted(nil), singleRoute(true, 2), open)
	r.Registry.SetTable(r.Registry.View().Table.WithOrganisations(organisationsOf(names...)), time.Now(), time.Time{})
	return r
}

// wantKey sends a request with a key and checks its organisation, or the reason of the refusal.
func (r *Relay) wantKey(t *testing.T, name, path, key string, want zlunit.Organisation, wantReason zldecision.Reason) {
	t.Helper()
	req := request(path)
	if key != "" {
		d := zltable.DigestKey(key)
		req.Key = &d
	}
	reason := zldecision.Reason("")
	if refused, ok := r.Serve(context.Background(), req).(*Refused); ok {
		reason = refused.Reason
	}
	if req.Organisation != want || reason != wantReason {
		t.Errorf("%s: %s with key %q: got organisation %q, reason %q, want %q, %q", name, path, key, req.Organisation, reason, want, wantReason)
	}
}

// A VM out of contact must refuse keys once they may have been taken if the deployment asks
// for that, and go on otherwise; it must not say that a key is unknown when it cannot tell.
func TestKeysOfAVMOutOfContact(t *testing.T) {
	for _, failClosed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := newKeyRelay("a")
			r.Settings.FailClosed = failClosed
			r.Settings.RevokeTimeout = revokeTimeout
			time.Sleep(revokeTimeout / 2)
			r.wantKey(t, "in contact", "/one/x", "a", "a", "")
			r.wantKey(t, "in contact", "/one/x", "b", "", zldecision.ReasonUnknownKey)
			time.Sleep(revokeTimeout / 2)
			if failClosed {
				r.wantKey(t, "closed", "/one/x", "a", "", zldecision.ReasonKeysUnconfirmed)
				r.wantKey(t, "closed", "/one/x", "b", "", zldecision.ReasonKeysUnconfirmed)
				r.wantKey(t, "closed", "/open/x", "a", "", "")
			} else {
				r.wantKey(t, "open", "/one/x", "a", "a", "")
				r.wantKey(t, "open", "/one/x", "b", "", zldecision.ReasonUnknownKey)
				r.wantKey(t, "open", "/one/x", "", "", zldecision.ReasonNoKey)
			}
			r.Registry.Confirm(time.Time{}, time.Now(), time.Time{})
			r.wantKey(t, "confirmed again", "/one/x", "a", "a", "")
		})
	}
}

// A table that waits for warm replicas must not keep a key that was taken in force, nor one
// that was given out of force, nor let callers in that need a key until it is in force.
func TestKeysOfAPendingTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newKeyRelay("a", "b")
		moved, open := singleRoute(true, 2), singleRoute(true, 2)
		moved.Targets[0].Service = "new"
		open.Prefix = "/open/"
		r.Registry.SetTable(zltable.New(2, []zltable.Route{moved, open}, nil, zltable.Limits{}).WithOrganisations(organisationsOf("b", "c")),
			time.Now(), time.Now().Add(2*time.Second))
		r.wantKey(t, "taken", "/one/x", "a", "", zldecision.ReasonUnknownKey)
		r.wantKey(t, "kept", "/one/x", "b", "b", "")
		r.wantKey(t, "given", "/one/x", "c", "c", "")
		r.wantKey(t, "route that needs a key from now on", "/open/x", "", "", zldecision.ReasonNoKey)
		r.Registry.SetTable(zltable.New(3, []zltable.Route{moved}, nil, zltable.Limits{}), time.Now(), time.Now().Add(time.Second))
		r.wantKey(t, "all organisations taken", "/one/x", "", "", zldecision.ReasonNoKey)
		r.wantKey(t, "all organisations taken", "/one/x", "a", "", zldecision.ReasonUnknownKey)
		if v := r.Registry.View(); v.Table.Version != 1 {
			t.Errorf("got version %d in force, want the others pending", v.Table.Version)
		}
	})
}

// A VM that serves for another must take the organisation from the forward, with its priority,
// and must not serve one whose origin checked no key.
func TestOrganisationOfAForward(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newKeyRelay("a", "ranked")
		check := func(path string, name zlunit.Organisation, wantDeclined bool, wantPriority int) {
			req, table := request(path), r.Registry.View().Table
			req.Organisation = name
			f := &Forward{
				Request:  req,
				Parts:    []ForwardPart{{Service: "s0"}},
				MinParts: 1,
			}
			_, declined := r.ServeForward(context.Background(), f).(*Declined)
			x := &run{
				route:        &table.Routes[0],
				organisation: table.Organisation(name),
			}
			if turn := x.turn(); declined != wantDeclined || req.Organisation != name || turn.Priority != wantPriority || turn.Returning {
				t.Errorf("%s, %q: got declined %v, organisation %q, turn %+v", path, name, declined, req.Organisation, turn)
			}
		}
		check("/one/x", "ranked", false, 7)
		check("/one/x", "a", false, 0)
		check("/one/x", "newer than this VM's table", false, 0)
		check("/one/x", "", true, 0)
		check("/open/x", "", false, 0)
	})
}

// One organisation's crashing request must not block another's, and requests without one must
// keep the fingerprint that builds without organisations compute.
func TestFingerprintHasTheOrganisation(t *testing.T) {
	r := request("/one/x")
	none := r.Fingerprint()
	r.Organisation = "a"
	a := r.Fingerprint()
	r.Organisation = "b"
	if b := r.Fingerprint(); a == b || a == none || b == none || none != r.Message.Fingerprint() {
		t.Errorf("got fingerprints %v, %v, without an organisation %v", a, b, none)
	}
}
