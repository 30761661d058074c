package zlquarantineadmin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
)

func TestListAndLift(t *testing.T) {
	l := &zlquarantine.Ledger{
		Timer: &zltimer.Service{},
	}
	for i, id := range []zlunit.Upstream{"a", "b", "c"} {
		l.RecordCrash(&zlquarantine.Crash{
			Fingerprint: 7,
			Round:       zlquarantine.Round(i),
			Upstream:    id,
		})
	}
	mux := http.NewServeMux()
	Register(mux, l)
	call := func(method, path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(method, path, nil))
		return w
	}
	list := func() []Entry {
		var entries []Entry
		if err := json.Unmarshal(call(http.MethodGet, Path).Body.Bytes(), &entries); err != nil {
			t.Fatal(err)
		}
		return entries
	}
	entries := list()
	if len(entries) != 1 || entries[0].Fingerprint != "0000000000000007" || entries[0].LeftMs <= 0 || len(entries[0].Replicas) != 3 {
		t.Fatalf("got %v, want request 7 with its three replicas", entries)
	}
	for path, want := range map[string]int{
		"/7":                http.StatusBadRequest,
		"/0000000000000008": http.StatusNotFound,
	} {
		if got := call(http.MethodDelete, Path+path).Code; got != want {
			t.Errorf("lift %s: got status %d, want %d", path, got, want)
		}
	}
	if got := call(http.MethodDelete, Path+"/0000000000000007").Code; got != http.StatusNoContent {
		t.Errorf("lift: got status %d, want 204", got)
	}
	if entries := list(); len(entries) != 0 {
		t.Errorf("got %v after the lift, want none", entries)
	}
}
