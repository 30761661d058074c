package zlfakeplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/io/process/zlplatform"
)

// client calls a platform's handler directly: without sockets, time is virtual
// inside synctest.
type client struct {
	t       *testing.T
	handler http.Handler
}

// call returns the status and the body of a reply; status 0 means a lost reply.
func (c *client) call(method, path, body string) (status int, reply string) {
	w := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			status = 0
			reply = ""
		}
	}()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	c.handler.ServeHTTP(w, r.WithContext(context.Background()))
	return w.Code, w.Body.String()
}

// object reads an object; a zero object means that there is none.
func (c *client) object(path string) zlplatform.Object {
	c.t.Helper()
	_, body := c.call(http.MethodGet, path, "")
	var o zlplatform.Object
	_ = json.Unmarshal([]byte(body), &o)
	return o
}

// setFaults sets the faults given as JSON.
func (c *client) setFaults(body string) {
	c.t.Helper()
	if status, reply := c.call(http.MethodPut, "/control/faults", body); status != http.StatusOK {
		c.t.Fatalf("setting faults %s: got status %d and %q, want 200", body, status, reply)
	}
}

// withPlatform runs f against a platform with virtual time.
func withPlatform(t *testing.T, p *Platform, behaviour string, f func(c *client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &client{
			t:       t,
			handler: p.Handler(),
		}
		convey.Convey("Given a platform, "+behaviour, t, func() {
			f(c)
		})
	})
}

func TestConditionalUpdates(t *testing.T) {
	withPlatform(t, &Platform{}, "an update takes effect only if it names the current version", func(c *client) {
		status, _ := c.call(http.MethodPut, "/objects/k/n?ifVersion=0", `{"a":1}`)
		convey.So(status, convey.ShouldEqual, http.StatusOK)
		status, _ = c.call(http.MethodPut, "/objects/k/n?ifVersion=0", `{"a":2}`)
		convey.So(status, convey.ShouldEqual, http.StatusConflict)
		o := c.object("/objects/k/n")
		convey.So(string(o.Value), convey.ShouldEqual, `{"a":1}`)
		status, _ = c.call(http.MethodDelete, "/objects/k/n?ifVersion=1", "")
		convey.So(status, convey.ShouldEqual, http.StatusOK)
		status, _ = c.call(http.MethodGet, "/objects/k/n", "")
		convey.So(status, convey.ShouldEqual, http.StatusNotFound)
		status, _ = c.call(http.MethodPut, "/objects/k/n?ifVersion=x", `{}`)
		convey.So(status, convey.ShouldEqual, http.StatusBadRequest)
		big := `"` + strings.Repeat("x", maxValueBytes) + `"`
		status, _ = c.call(http.MethodPut, "/objects/k/big?ifVersion=0", big)
		convey.So(status, convey.ShouldEqual, http.StatusBadRequest)
	})
}

func TestWatches(t *testing.T) {
	withPlatform(t, &Platform{}, "a watch returns at a change, returns empty after its wait and fails when the platform goes down", func(c *client) {
		_, _ = c.call(http.MethodPut, "/objects/k/n?ifVersion=0", `1`)
		time.AfterFunc(time.Second, func() {
			_, _ = c.call(http.MethodDelete, "/objects/k/n?ifVersion=1", "")
		})
		start := time.Now()
		_, body := c.call(http.MethodGet, "/watch?kind=k&after=1&waitMs=5000", "")
		convey.So(body, convey.ShouldContainSubstring, `"deleted":true`)
		convey.So(time.Since(start), convey.ShouldEqual, time.Second)

		start = time.Now()
		_, body = c.call(http.MethodGet, "/watch?kind=k&after=2&waitMs=5000", "")
		convey.So(body, convey.ShouldContainSubstring, `"objects":null`)
		convey.So(time.Since(start), convey.ShouldEqual, 5*time.Second)

		time.AfterFunc(time.Second, func() { c.setFaults(`{"down": true}`) })
		status, _ := c.call(http.MethodGet, "/watch?kind=k&after=2&waitMs=5000", "")
		convey.So(status, convey.ShouldEqual, http.StatusServiceUnavailable)
	})
}

func TestFaults(t *testing.T) {
	withPlatform(t, &Platform{}, "it can be down, be slow, and lose replies to writes that took effect", func(c *client) {
		c.setFaults(`{"down": true}`)
		status, _ := c.call(http.MethodPut, "/objects/k/n?ifVersion=0", `1`)
		convey.So(status, convey.ShouldEqual, http.StatusServiceUnavailable)

		c.setFaults(`{"loseReplies": 1}`)
		status, _ = c.call(http.MethodPut, "/objects/k/n?ifVersion=0", `1`)
		convey.So(status, convey.ShouldEqual, 0)
		c.setFaults(`{"slowMs": 700}`)
		start := time.Now()
		convey.So(string(c.object("/objects/k/n").Value), convey.ShouldEqual, "1")
		convey.So(time.Since(start), convey.ShouldEqual, 700*time.Millisecond)
		_, body := c.call(http.MethodGet, "/control/faults", "")
		convey.So(body, convey.ShouldContainSubstring, `"slowMs":700`)
	})
	withPlatform(t, &Platform{}, "invalid faults are refused with the name of the key", func(c *client) {
		for body, want := range map[string]string{
			`{"slowMs": -1}`:       `key "slowMs": found -1`,
			`{"loseReplies": 1.5}`: `key "loseReplies": found 1.5`,
			`{"dwon": true}`:       `dwon`,
		} {
			status, reply := c.call(http.MethodPut, "/control/faults", body)
			convey.So(status, convey.ShouldEqual, http.StatusBadRequest)
			convey.So(reply, convey.ShouldContainSubstring, want)
		}
	})
}

func TestRatesAndCounts(t *testing.T) {
	p := &Platform{
		WritesPerSecond: 10,
	}
	withPlatform(t, p, "writes over the rate limit are refused and counted", func(c *client) {
		for range 30 {
			_, _ = c.call(http.MethodDelete, "/objects/k/n?ifVersion=9", "")
		}
		status, _ := c.call(http.MethodDelete, "/objects/k/n?ifVersion=9", "")
		convey.So(status, convey.ShouldEqual, http.StatusTooManyRequests)
		_, body := c.call(http.MethodGet, "/control/counts", "")
		convey.So(body, convey.ShouldContainSubstring, `"writes":11`)
		convey.So(body, convey.ShouldContainSubstring, `"refused":20`)
		time.Sleep(time.Second)
		status, _ = c.call(http.MethodDelete, "/objects/k/n?ifVersion=9", "")
		convey.So(status, convey.ShouldEqual, http.StatusConflict)
	})
}

func TestListOfVMsLags(t *testing.T) {
	p := &Platform{
		VMLag: 5 * time.Second,
	}
	withPlatform(t, p, "a new VM and its state leaving are visible only after the lag", func(c *client) {
		vms := func() string {
			_, body := c.call(http.MethodGet, "/vms", "")
			return strings.TrimSpace(body)
		}
		_, _ = c.call(http.MethodPut, "/control/vms", `[{"name": "a", "dataCentre": "dc"}]`)
		convey.So(vms(), convey.ShouldEqual, "[]")
		time.Sleep(5 * time.Second)
		_, _ = c.call(http.MethodPut, "/control/vms", `[{"name": "a", "dataCentre": "dc", "leaving": true}]`)
		convey.So(vms(), convey.ShouldContainSubstring, `"leaving":false`)
		time.Sleep(5 * time.Second)
		convey.So(vms(), convey.ShouldContainSubstring, `"leaving":true`)
	})
}
