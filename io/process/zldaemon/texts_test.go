package zldaemon

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/request/zltrace"
	"zinnialock/core/version/zlview"
	"zinnialock/io/process/zlconfig"
	"zinnialock/io/process/zlfleet"
)

// Guards against rewording of texts that leave the process: operators and other
// daemons match them.
func TestTextsOfTheAdminInterface(t *testing.T) {
	d := &Daemon{
		Config: &zlconfig.Config{},
		timer:  &zltimer.Service{},
		traces: &zltrace.Store{},
		views:  &zlview.CurrentView{},
	}
	for _, c := range []struct {
		handler http.HandlerFunc
		path    string
		status  int
		want    string
	}{
		{d.serveExplain, "/explain", http.StatusBadRequest, "key \"request\": found nothing, allowed is a request id\n"},
		{d.serveExplain, "/explain?request=x", http.StatusNotFound, "this daemon knows nothing of the request, or no longer\n"},
		{d.serveEvents, "/events?after=x", http.StatusBadRequest, "after: found \"x\", allowed is a number from 0\n"},
	} {
		w := httptest.NewRecorder()
		c.handler(w, httptest.NewRequest(http.MethodGet, c.path, nil))
		if w.Code != c.status || w.Body.String() != c.want {
			t.Errorf("%s: got status %d, body %q, want %d, %q", c.path, w.Code, w.Body.String(), c.status, c.want)
		}
	}
	if _, why := d.Ready(); why != "no view of the platform yet" {
		t.Errorf("without a view: got %q", why)
	}
	d.started = d.timer.Now()
	d.fleet = &zlfleet.Fleet{
		Timer: d.timer,
	}
	d.views.Store((&zlview.View{}).Build())
	if _, why := d.Ready(); why != "earlier holders are waited for" {
		t.Errorf("while other daemons hold the upstreams: got %q", why)
	}
	if _, err := d.answerHeartbeat([]byte("no CBOR")); err == nil || !strings.HasPrefix(err.Error(), "beat: ") {
		t.Errorf("invalid heartbeat: got error %v, want one that starts with beat", err)
	}
}

func TestTextsOfAPlannedStop(t *testing.T) {
	var out bytes.Buffer
	d := newTestDaemon(t)
	d.Config.StopLimit = 20 * time.Second
	d.Out = &out
	if err := d.Run(); err != nil {
		t.Fatal(err)
	}
	if err := d.Stop(); err != nil {
		t.Fatal(err)
	}
	for _, what := range []string{"stopping", "stopped"} {
		if want := `"what":"` + what + `","why":"asked to"`; !strings.Contains(out.String(), want) {
			t.Errorf("log lacks %s:\n%s", want, out.String())
		}
	}
}
