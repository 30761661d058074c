package zldaemon

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"zinnialock/core/process/zlevent"
	"zinnialock/core/process/zltimer"
	"zinnialock/io/process/zlconfig"
	"zinnialock/io/process/zlkeys"
	"zinnialock/io/standin/zlfakeplatform"

	"github.com/phuslu/log"
	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

// quietLogger returns a logger that drops everything below panic.
func quietLogger() *log.Logger {
	return &log.Logger{
		Level: log.PanicLevel,
	}
}

// TestReplacedKeysAreLoaded guards against a daemon that needs a restart for new
// certificates, or that loses its keys when the replaced files are invalid.
func TestReplacedKeysAreLoaded(t *testing.T) {
	dir := t.TempDir()
	authority, err := zlkeys.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	files, err := authority.WriteFiles(dir, "vm")
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		keys := &zlkeys.Store{
			Files: files,
		}
		d := &Daemon{
			Keys:   keys,
			Log:    quietLogger(),
			timer:  &zltimer.Service{},
			events: &zlevent.Ring{},
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go d.watchKeys(ctx)
		synctest.Wait()
		convey.Convey("Replaced files are loaded, invalid ones leave the keys in force", t, func() {
			convey.So(keys.Load(), convey.ShouldBeNil)
			old, err := keys.Config("x").GetCertificate(nil)
			convey.So(err, convey.ShouldBeNil)
			convey.So(os.WriteFile(filepath.Join(dir, "vm.crt"), []byte("broken"), 0o600), convey.ShouldBeNil)
			time.Sleep(2 * keysPollPeriod)
			same, _ := keys.Config("x").GetCertificate(nil)
			convey.So(same, convey.ShouldEqual, old)
			convey.So(d.events.After(0), convey.ShouldBeEmpty)
			_, err = authority.WriteFiles(dir, "vm")
			convey.So(err, convey.ShouldBeNil)
			time.Sleep(2 * keysPollPeriod)
			next, _ := keys.Config("x").GetCertificate(nil)
			convey.So(next, convey.ShouldNotEqual, old)
			convey.So(len(d.events.After(0)), convey.ShouldEqual, 1)
		})
	})
}

// TestKillEndsEverything checks that Kill ends all goroutines, and that the admin
// interface serves the status and rejects an invalid parameter.
func TestKillEndsEverything(t *testing.T) {
	t.Cleanup(func() {
		goleak.VerifyNone(t)
	})
	d := newTestDaemon(t)
	convey.Convey("Kill ends all goroutines of a running daemon", t, func() {
		convey.So(d.Run(), convey.ShouldBeNil)
		w := httptest.NewRecorder()
		d.adminMux().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/status", nil))
		var s Status
		convey.So(json.Unmarshal(w.Body.Bytes(), &s), convey.ShouldBeNil)
		convey.So(string(s.Fleet.VM), convey.ShouldEqual, "nashua-1")
		w = httptest.NewRecorder()
		d.adminMux().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/events?after=x", nil))
		convey.So(w.Code, convey.ShouldEqual, http.StatusBadRequest)
		d.Kill()
	})
}

// newTestDaemon returns a daemon with a platform stand-in of its own. It does not run yet.
func newTestDaemon(t *testing.T) *Daemon {
	t.Helper()
	platform := httptest.NewServer((&zlfakeplatform.Platform{}).Handler())
	t.Cleanup(platform.Close)
	authority, err := zlkeys.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	keys, err := authority.Store("nashua-1")
	if err != nil {
		t.Fatal(err)
	}
	return &Daemon{
		Config: &zlconfig.Config{
			Name:            "nashua-1",
			DataCentre:      "nashua",
			Deployment:      "guild",
			CallerListen:    "127.0.0.1:0",
			AdminListen:     "127.0.0.1:0",
			PeerListen:      "127.0.0.1:0",
			PlatformAddress: platform.Listener.Addr().String(),
			PlatformTimeout: time.Second,
		},
		Keys: keys,
		Log:  quietLogger(),
	}
}
