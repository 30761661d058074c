// Package zlrecorded supplies tests with the messages that earlier builds wrote, which are
// in testdata/recorded of the package under test, a file for each build. A build adds its
// own by the flag -record.
package zlrecorded

import (
	"encoding/hex"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

var record = flag.String("record", "", "write the messages of this build to a file, for testdata/recorded")

// unknownKey is a key that no message has.
const unknownKey = 99

// Messages holds encoded messages by name.
type Messages map[string][]byte

// Load returns the recorded messages by the file of their build. own are those of this
// build.
func Load(t testing.TB, own Messages) map[string]Messages {
	t.Helper()
	if *record != "" {
		write(t, own)
	}
	files, err := filepath.Glob("testdata/recorded/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d recorded builds, error %v", len(files), err)
	}
	builds := map[string]Messages{}
	for _, file := range files {
		text, err := os.ReadFile(filepath.Clean(file))
		if err != nil {
			t.Fatal(err)
		}
		var recorded map[string]string
		if err := json.Unmarshal(text, &recorded); err != nil {
			t.Fatal(err)
		}
		builds[file] = Messages{}
		for name, text := range recorded {
			if builds[file][name], err = hex.DecodeString(text); err != nil {
				t.Fatal(err)
			}
		}
	}
	return builds
}

func write(t testing.TB, own Messages) {
	t.Helper()
	out := map[string]string{}
	for name, data := range own {
		out[name] = hex.EncodeToString(data)
	}
	text, err := json.MarshalIndent(out, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(*record, append(text, '\n'), 0o600); err != nil {
		t.Fatal(err)
	}
}

// WithUnknownField returns a message with a field that a later build may have.
func WithUnknownField(t testing.TB, data []byte) []byte {
	t.Helper()
	var fields map[int]cbor.RawMessage
	if err := cbor.Unmarshal(data, &fields); err != nil {
		t.Fatal(err)
	}
	fields[unknownKey] = cbor.RawMessage{0x81, 0x01}
	later, err := cbor.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	return later
}
