package zlforward

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Guards against another VM, perhaps of an earlier build, that passes on an answer with an
// invalid status of a failing replica.
func TestInvalidStatusOfAForwardIsAnInvalidReply(t *testing.T) {
	for status, valid := range map[int]bool{
		200:  true,
		599:  true,
		-200: false,
		0:    false,
		99:   false,
		100:  false,
		199:  false,
		600:  false,
		1000: false,
	} {
		data, err := cbor.Marshal(&reply{
			ID: "id",
			Served: &served{
				Status:    status,
				Signature: "s",
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		if r, err := decodeReply("id", data); (err == nil) != valid {
			t.Errorf("status %d: got reply %+v and error %v, want a reply %v", status, r, err, valid)
		}
	}
}
