// Package zlrecorded holds the messages of this build, in tests, against those that earlier
// builds wrote, which are in testdata/recorded of the package under test, a file for each
// build. A build adds its own by the flag -record.
package zlrecorded

import (
	"encoding/hex"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

var record = flag.String("record", "", "write the messages of this build to a file, for testdata/recorded")

// unknownKey is a key that no message has.
const unknownKey = 99

// Check checks that this build reads the recorded messages as the given ones, also with a
// field of a later build, and writes the same bytes. The messages are pointers, by name.
func Check(t testing.TB, decoder cbor.DecMode, messages map[string]any) {
	t.Helper()
	own := map[string]string{}
	for name, m := range messages {
		data, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		own[name] = hex.EncodeToString(data)
	}
	if *record != "" {
		write(t, own)
	}
	files, err := filepath.Glob("testdata/recorded/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d recorded builds, error %v", len(files), err)
	}
	for _, file := range files {
		recorded := read(t, file)
		for name, want := range messages {
			if own[name] != recorded[name] {
				t.Errorf("%s: %s: this build writes %s, want %s", file, name, own[name], recorded[name])
			}
			data, err := hex.DecodeString(recorded[name])
			if err != nil {
				t.Fatal(err)
			}
			for _, variant := range [][]byte{data, withUnknownField(t, data)} {
				got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
				if err := decoder.Unmarshal(variant, got); err != nil || !reflect.DeepEqual(got, want) {
					t.Errorf("%s: %s: got %+v of %x, error %v, want %+v", file, name, got, variant, err, want)
				}
			}
		}
	}
}

// read returns the messages of a build, in hexadecimal digits.
func read(t testing.TB, file string) map[string]string {
	t.Helper()
	text, err := os.ReadFile(filepath.Clean(file))
	if err != nil {
		t.Fatal(err)
	}
	var recorded map[string]string
	if err := json.Unmarshal(text, &recorded); err != nil {
		t.Fatal(err)
	}
	return recorded
}

func write(t testing.TB, own map[string]string) {
	t.Helper()
	text, err := json.MarshalIndent(own, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(*record, append(text, '\n'), 0o600); err != nil {
		t.Fatal(err)
	}
}

// withUnknownField returns a message with a field that a later build may have.
func withUnknownField(t testing.TB, data []byte) []byte {
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
