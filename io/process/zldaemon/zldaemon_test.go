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

func quiet() *log.Logger {
	return &log.Logger{
		Level: log.PanicLevel,
	}
}

func TestKeysAreTakenUp(t *testing.T) {
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
			Log:    quiet(),
			timer:  &zltimer.Service{},
			events: &zlevent.Ring{},
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go d.followKeys(ctx)
		synctest.Wait()
		convey.Convey("Replaced files are loaded, broken ones are not", t, func() {
			convey.So(keys.Load(), convey.ShouldBeNil)
			old, err := keys.Config("x").GetCertificate(nil)
			convey.So(err, convey.ShouldBeNil)
			convey.So(os.WriteFile(filepath.Join(dir, "vm.crt"), []byte("broken"), 0o600), convey.ShouldBeNil)
			time.Sleep(2 * keysPeriod)
			same, _ := keys.Config("x").GetCertificate(nil)
			convey.So(same, convey.ShouldEqual, old)
			convey.So(d.events.After(0), convey.ShouldBeEmpty)
			_, err = authority.WriteFiles(dir, "vm")
			convey.So(err, convey.ShouldBeNil)
			time.Sleep(2 * keysPeriod)
			next, _ := keys.Config("x").GetCertificate(nil)
			convey.So(next, convey.ShouldNotEqual, old)
			convey.So(len(d.events.After(0)), convey.ShouldEqual, 1)
		})
	})
}

func TestKillEndsEverything(t *testing.T) {
	defer goleak.VerifyNone(t)
	platform := httptest.NewServer((&zlfakeplatform.Platform{}).Handler())
	defer platform.Close()
	authority, err := zlkeys.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	keys, err := authority.Store("nashua-1")
	if err != nil {
		t.Fatal(err)
	}
	d := &Daemon{
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
		Log:  quiet(),
	}
	convey.Convey("A daemon that is killed leaves no goroutine", t, func() {
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
