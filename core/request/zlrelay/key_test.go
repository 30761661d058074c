package zlrelay

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zldecision"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zltable"
)

const revokeTimeout = 5 * time.Second

// organisationsOf returns organisations whose keys are their names.
func organisationsOf(names ...string) []zltable.Organisation {
	var list []zltable.Organisation
	for _, name := range names {
		list = append(list, zltable.Organisation{
			Name:        zlunit.Organisation(name),
			Keys:        []zltable.KeyDigest{zltable.DigestKey(name)},
			Priority:    7,
			HasPriority: name == "ranked",
		})
	}
	return list
}

// newKeyRelay returns a relay of a deployment with organisations, with a route that allows
// anonymous callers and one that does not.
func newKeyRelay(names ...string) *Relay {
	open := singleRoute(true, 2)
	open.Prefix = "/open/"
	open.AllowAnonymous = true
	r := newTestRelay(newScripted(nil), singleRoute(true, 2), open)
	r.Registry.SetTable(r.Registry.View().Table.WithOrganisations(organisationsOf(names...)), time.Now(), time.Time{})
	r.SetOrganisation = func(h http.Header, o zlunit.Organisation) {
		h.Set("Organisation", string(o))
	}
	return r
}

// ask sends a request with a key and returns its organisation, or the reason of the refusal.
func (r *Relay) ask(path, key string) (zlunit.Organisation, zldecision.Reason) {
	req := request(path)
	if key != "" {
		d := zltable.DigestKey(key)
		req.Key = &d
	}
	if refused, ok := r.Serve(context.Background(), req).(*Refused); ok {
		return "", refused.Reason
	}
	return zlunit.Organisation(req.Message.Header.Get("Organisation")), ""
}

// A VM out of contact must refuse keys once they may have been taken if the deployment asks
// for that, and go on otherwise; it must not say that a key is unknown when it cannot tell.
func TestKeysOfAVMOutOfContact(t *testing.T) {
	for _, c := range []struct {
		name       string
		failClosed bool
		after      time.Duration
		path       string
		key        string
		want       zlunit.Organisation
		reason     zldecision.Reason
	}{
		{"in contact", true, revokeTimeout, "/one/x", "a", "a", ""},
		{"in contact, unknown", true, revokeTimeout, "/one/x", "b", "", zldecision.ReasonUnknownKey},
		{"out of contact", true, revokeTimeout + time.Millisecond, "/one/x", "a", "", zldecision.ReasonKeysUnconfirmed},
		{"out of contact, unknown", true, revokeTimeout + time.Millisecond, "/one/x", "b", "", zldecision.ReasonKeysUnconfirmed},
		{"out of contact, anonymous", true, revokeTimeout + time.Millisecond, "/open/x", "a", "", ""},
		{"open, out of contact", false, time.Hour, "/one/x", "a", "a", ""},
		{"open, out of contact, unknown", false, time.Hour, "/one/x", "b", "", zldecision.ReasonUnknownKey},
		{"open, out of contact, missing", false, time.Hour, "/one/x", "", "", zldecision.ReasonNoKey},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newKeyRelay("a")
			r.Settings.FailClosed = c.failClosed
			r.Settings.RevokeTimeout = revokeTimeout
			time.Sleep(c.after)
			if got, reason := r.ask(c.path, c.key); got != c.want || reason != c.reason {
				t.Errorf("%s: got organisation %q, reason %q, want %q, %q", c.name, got, reason, c.want, c.reason)
			}
			r.Registry.Confirm(time.Time{}, time.Now(), time.Time{})
			if got, reason := r.ask("/one/x", "a"); got != "a" || reason != "" {
				t.Errorf("%s: confirmed again: got organisation %q, reason %q, want a", c.name, got, reason)
			}
		})
	}
}

// A table that waits for warm replicas must not keep a key that was taken in force, nor one
// that was given out of force.
func TestKeysOfAPendingTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newKeyRelay("a", "b")
		moved := singleRoute(true, 2)
		moved.Targets[0].Service = "new"
		open := singleRoute(true, 2)
		open.Prefix = "/open/"
		r.Registry.SetTable(zltable.New(2, []zltable.Route{moved, open}, nil, zltable.Limits{}).WithOrganisations(organisationsOf("b", "c")),
			time.Now(), time.Now().Add(2*time.Second))
		if v := r.Registry.Current(); v.Table.Version != 1 || v.PendingKeys == nil {
			t.Fatalf("got version %d in force, want the new one pending", v.Table.Version)
		}
		for key, want := range map[string]zldecision.Reason{
			"a": zldecision.ReasonUnknownKey,
			"b": "",
			"c": "",
		} {
			if _, reason := r.ask("/one/x", key); reason != want {
				t.Errorf("key %s: got reason %q, want %q", key, reason, want)
			}
		}
		if _, reason := r.ask("/open/x", ""); reason != zldecision.ReasonNoKey {
			t.Errorf("route that needs a key from now on: got reason %q", reason)
		}
		r.Registry.SetTable(zltable.New(3, []zltable.Route{moved}, nil, zltable.Limits{}), time.Now(), time.Now().Add(time.Second))
		for _, key := range []string{"", "a"} {
			if got, reason := r.ask("/one/x", key); reason == "" {
				t.Errorf("organisations removed by a pending table: got key %q served as %q before it is in force", key, got)
			}
		}
	})
}

// A VM that serves for another must take the organisation from the forward, and must not serve
// one whose origin checked no key.
func TestOrganisationOfAForward(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newKeyRelay("a", "ranked")
		for _, c := range []struct {
			path     string
			name     zlunit.Organisation
			declined bool
		}{
			{"/one/x", "ranked", false},
			{"/one/x", "given after this VM's table", false},
			{"/one/x", "", true},
			{"/open/x", "", false},
		} {
			req := request(c.path)
			req.Organisation = c.name
			req.Message.Header = http.Header{"Organisation": []string{"forged"}}
			reply := r.ServeForward(context.Background(), &Forward{
				Request:  req,
				Parts:    []ForwardPart{{Service: "s0"}},
				MinParts: 1,
			})
			_, declined := reply.(*Declined)
			if declined != c.declined || !declined && req.Message.Header.Get("Organisation") != string(c.name) {
				t.Errorf("%s, %q: got %T, headers %v", c.path, c.name, reply, req.Message.Header)
			}
		}
	})
}

// One organisation's crashing request must not block another's, and requests without one must
// keep the fingerprint that builds without organisations compute.
func TestFingerprintHasTheOrganisation(t *testing.T) {
	a, b, none := request("/one/x"), request("/one/x"), request("/one/x")
	a.Organisation, b.Organisation = "a", "b"
	if a.Fingerprint() == b.Fingerprint() || a.Fingerprint() == none.Fingerprint() || none.Fingerprint() != none.Message.Fingerprint() {
		t.Errorf("got fingerprints %v, %v, without an organisation %v", a.Fingerprint(), b.Fingerprint(), none.Fingerprint())
	}
	r := newKeyRelay("a", "ranked")
	view := r.Registry.View()
	for name, want := range map[zlunit.Organisation]int{"ranked": 2*7 + 1, "a": 1, "": 1} {
		x := r.newRun(context.Background(), view, &view.Table.Routes[0], request("/one/x"))
		x.organisation = view.Table.Organisation(name)
		if got := x.rank(); got != want {
			t.Errorf("%q: got rank %d, want %d", name, got, want)
		}
	}
}
