package zlforward

import (
	"net/http"
	"testing"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/standin/zlrecorded"
)

// recordedMessages returns a request and a reply of each kind, as they are in
// testdata/recorded.
func recordedMessages(t *testing.T) map[string]any {
	return map[string]any{
		"request": recordedRequest(t),
		"declined": &reply{
			ID: "id",
			Declined: &declined{
				Reason:  "stopping",
				Serving: []zlunit.VM{"vm-2"},
			},
		},
		"served": &reply{
			ID:      "id",
			Version: 3,
			Served: &served{
				Status: 200,
				Header: http.Header{
					"X-Own": []string{"1"},
				},
				Body:      []byte("body"),
				Signature: "signature",
			},
		},
		"merged": &reply{
			ID:      "id",
			Version: 3,
			Merged: &merged{
				Records:    []byte("records"),
				Signatures: []string{"a", "b"},
				Services:   []zlunit.Service{"s1", "s2"},
			},
		},
		"refused": &reply{
			ID: "id",
			Refused: &refused{
				Reason:     "noRoom",
				RetryAfter: time.Second,
			},
		},
		"failed": &reply{
			ID: "id",
			Failed: &failed{
				Reason:   "timeout",
				TimedOut: true,
				Runs:     2,
			},
		},
	}
}

func recordedRequest(t *testing.T) *request {
	header, err := encodeHeader(http.Header{
		"X-Own": []string{"1"},
	})
	if err != nil {
		t.Fatal(err)
	}
	return &request{
		Origin:  "vm-1",
		ID:      "id",
		Method:  "POST",
		Target:  "/a?b",
		Path:    "/a",
		Host:    "h",
		Header:  header,
		Body:    []byte("body"),
		Waited:  time.Millisecond,
		Left:    time.Second,
		Transit: 6 * time.Millisecond,
		Version: 3,
		Parts: []part{{
			Service:    "s1",
			Arrivals:   1,
			MayHaveRun: 1,
		}},
		MinParts:  1,
		Counted:   true,
		Suspected: true,
	}
}

// Guards against a build that cannot run beside the one before it, as
// zlbroadcast.TestMessagesOfEarlierBuilds.
func TestForwardsOfEarlierBuilds(t *testing.T) {
	zlrecorded.Check(t, decoder, recordedMessages(t))
}
