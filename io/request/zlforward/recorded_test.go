package zlforward

import (
	"bytes"
	"net/http"
	"reflect"
	"testing"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/standin/zlrecorded"

	"github.com/fxamacker/cbor/v2"
)

// recordedReplies returns a reply of each kind, as they are in testdata/recorded.
func recordedReplies() map[string]*reply {
	return map[string]*reply{
		"declined": {
			ID: "id",
			Declined: &declined{
				Reason:  "stopping",
				Serving: []zlunit.VM{"vm-2"},
			},
		},
		"served": {
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
		"merged": {
			ID:      "id",
			Version: 3,
			Merged: &merged{
				Records:    []byte("records"),
				Signatures: []string{"a", "b"},
				Services:   []zlunit.Service{"s1", "s2"},
			},
		},
		"refused": {
			ID: "id",
			Refused: &refused{
				Reason:     "noRoom",
				RetryAfter: time.Second,
			},
		},
		"failed": {
			ID: "id",
			Failed: &failed{
				Reason:   "timeout",
				TimedOut: true,
				Runs:     2,
			},
		},
	}
}

func recordedRequest() *request {
	return &request{
		Origin: "vm-1",
		ID:     "id",
		Method: "POST",
		Target: "/a?b",
		Path:   "/a",
		Host:   "h",
		Header: http.Header{
			"X-Own": []string{"1"},
		},
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
	wanted := map[string]any{
		"request": recordedRequest(),
	}
	for name, r := range recordedReplies() {
		wanted[name] = r
	}
	own := zlrecorded.Messages{}
	for name, m := range wanted {
		data, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		own[name] = data
	}
	for build, recorded := range zlrecorded.Load(t, own) {
		for name, want := range wanted {
			data := recorded[name]
			for _, variant := range [][]byte{data, zlrecorded.WithUnknownField(t, data)} {
				got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
				if err := decoder.Unmarshal(variant, got); err != nil || !reflect.DeepEqual(got, want) {
					t.Errorf("%s: %s: got %+v of %x, error %v, want %+v", build, name, got, variant, err, want)
				}
			}
			if !bytes.Equal(own[name], data) {
				t.Errorf("%s: %s: this build writes %x, want %x", build, name, own[name], data)
			}
		}
	}
}
