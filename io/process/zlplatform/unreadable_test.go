package zlplatform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against the operators' report of an odd object that makes daemons stop following
// the platform. Before the fix the watch failed with "exceeded max depth".
func TestOddObjectDoesNotHideTheOthers(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"revision":3,"objects":[{"kind":"catalog","name":"odd","version":2,"value":` + deep + `},` +
			`{"kind":"catalog","name":"sound","version":3,"value":{"service":"s"}}]}`))
	}))
	defer server.Close()
	c := &Client{
		Address: server.Listener.Addr().String(),
		HTTP:    server.Client(),
		Timeout: 10 * time.Second,
	}
	l, err := c.Watch(context.Background(), []ObjectKind{ObjectCatalog}, 0, 0)
	if err != nil || len(l.Objects) != 2 || string(l.Objects[1].Value) != `{"service":"s"}` {
		t.Fatalf("got %.300v, error %.200v, want both objects", l, err)
	}
}
