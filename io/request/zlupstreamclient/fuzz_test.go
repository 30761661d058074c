package zlupstreamclient

import (
	"net/http"
	"testing"

	"zinnialock/core/request/zlexecutor"
	"zinnialock/core/request/zlquery"
)

// FuzzReply checks that decodeReply accepts rows only if they belong to the request
// and have a coverage from 0 to 1, and never returns a negative retry-after.
func FuzzReply(f *testing.F) {
	f.Add(http.StatusOK, []byte(`{"queryId":"q","upstream":"u","shard":1,"version":2,"coverage":0.5,"rows":["r"]}`))
	f.Add(http.StatusOK, []byte(`{"queryId":"q","upstream":"u","shard":1,"version":2,"coverage":1e99}`))
	f.Add(http.StatusOK, []byte(`{"queryId":"q"`))
	f.Add(http.StatusOK, []byte(`null`))
	f.Add(http.StatusServiceUnavailable, []byte(`{"reason":"shed","started":false,"retryAfterMs":-5}`))
	f.Add(http.StatusServiceUnavailable, []byte(`{"reason":"shed"}`))
	f.Fuzz(func(t *testing.T, status int, data []byte) {
		call := &zlexecutor.Fetch{
			Query:   "q",
			Shard:   1,
			Version: 2,
		}
		switch result := decodeReply(status, data, "u", call).Result.(type) {
		case zlquery.Done:
			p := result.Part
			if status != http.StatusOK || p.Shard != 1 || p.Version != 2 || p.Upstream != "u" || !(p.Coverage >= 0 && p.Coverage <= 1) {
				t.Fatalf("got part %+v, want it only with status 200, shard 1, version 2, upstream u and a coverage from 0 to 1", p)
			}
		case zlquery.NotRun:
			if status == http.StatusOK || result.RetryAfter < 0 {
				t.Fatalf("got %+v, want NotRun only with a status other than 200 and no negative retry-after", result)
			}
		case zlquery.Unknown:
		default:
			t.Fatalf("got result %v, want Done, NotRun or Unknown", result)
		}
	})
}
