package zlupstreamclient

import (
	"net/http"
	"testing"

	"zinnialock/core/request/zlexecutor"
)

// Guards against a refusal with an invalid status that counts as not run.
func TestInvalidStatusIsABadReply(t *testing.T) {
	refusal := []byte(`{"reason":"overload","started":false}`)
	for status, valid := range map[int]bool{
		http.StatusServiceUnavailable: true,
		http.StatusTooManyRequests:    true,

		0:    false,
		20:   false,
		99:   false,
		100:  false,
		600:  false,
		700:  false,
		1000: false,
	} {
		r := decodeReply(status, refusal, "u", &zlexecutor.Fetch{}).Result
		if isBadReply(r) == valid {
			t.Errorf("status %d: got result %+v, want a bad reply: %v", status, r, !valid)
		}
	}
}
