package zlconfig

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// A key that Text writes under a wrong name or format would be lost in the daemon that
// is started with the file.
func TestLoadReadsWhatTextWrites(t *testing.T) {
	want := &Config{
		Name:            "vm-1",
		DataCentre:      "nashua",
		Deployment:      "guild",
		CallerListen:    "127.0.0.1:7100",
		AdminListen:     "127.0.0.1:7101",
		PeerListen:      "127.0.0.1:7102",
		PlatformAddress: "127.0.0.1:7000",
		PlatformTimeout: 2 * time.Second,
		Certificate:     "/keys/a.crt",
		Key:             "/keys/a.key",
		Authority:       "/keys/authority.crt",
		StopGrace:       time.Second,
		StopLimit:       10 * time.Second,
		LogLevel:        "error",
	}
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(want.Text()), 0o600); err != nil {
		t.Fatal(err)
	}
	got, _, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("settings after Text and Load: got %+v, want %+v", got, want)
	}
}
