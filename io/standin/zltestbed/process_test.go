package zltestbed

import (
	"net/http"
	"testing"
	"time"
)

// A child that ends with exit code 0 before it answers has not started.
func TestProcessThatEndsBeforeItAnswersIsAnError(t *testing.T) {
	p := &DaemonProcess{
		Name:  "x-1",
		Ports: []string{"", "127.0.0.1:0"},
		client: &http.Client{
			Timeout: time.Second,
		},
		ended: make(chan struct{}),
	}
	close(p.ended)
	if err := p.waitAnswering(); err == nil {
		t.Fatal("got no error for a process that ended before it answered")
	}
}
