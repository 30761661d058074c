package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlcatalog"
	"zinnialock/core/version/zlroster"
	"zinnialock/io/process/zlplatform"
	"zinnialock/io/standin/zlfakeplatform"
)

// testOperator runs subcommands against a stand-in of the platform.
type testOperator struct {
	platform *zlfakeplatform.Platform
	address  string
}

func newTestOperator(t *testing.T) *testOperator {
	o := &testOperator{
		platform: &zlfakeplatform.Platform{},
	}
	server := httptest.NewServer(o.platform.Handler())
	t.Cleanup(server.Close)
	o.address = strings.TrimPrefix(server.URL, "http://")
	return o
}

// run runs a subcommand and returns the exit code and the output of stdout and stderr.
func (o *testOperator) run(args ...string) (int, string) {
	var out bytes.Buffer
	args = append(args, "-platform", o.address)
	code := Main(args, &out, &out)
	return code, out.String()
}

// edit runs a subcommand that makes a change.
func (o *testOperator) edit(args ...string) (int, string) {
	return o.run(append(args, "-by", "ann", "-reason", "test")...)
}

// put creates an object on the platform.
func (o *testOperator) put(kind zlplatform.ObjectKind, name string, value any) {
	c := &zlplatform.Client{
		Address: o.address,
		HTTP:    http.DefaultClient,
		Timeout: 10 * time.Second,
	}
	if _, err := c.Put(context.Background(), kind, name, 0, value); err != nil {
		panic(err)
	}
}

func TestConfigCommands(t *testing.T) {
	convey.Convey("Given a platform that loses every second reply of a write", t, func() {
		o := newTestOperator(t)
		o.platform.SetFaults(zlfakeplatform.Faults{
			LoseReplies: 0.5,
		})
		for _, value := range []string{"2s", "3s", "4s"} {
			code, out := o.edit("config", "set", "-path", "guild", "-key", "deadline", "-value", value)
			convey.So(out, convey.ShouldContainSubstring, "accepted and read back")
			convey.So(code, convey.ShouldEqual, exitOK)
		}
		_, out := o.run("config", "get", "-at", "guild/lowell/s/k", "-key", "deadline")
		convey.So(strings.Fields(out), convey.ShouldResemble, []string{"deadline", "4s", "guild"})
		_, out = o.run("config", "history", "-format", "json")
		var log []any
		convey.So(json.Unmarshal([]byte(out), &log), convey.ShouldBeNil)
		convey.So(len(log), convey.ShouldEqual, 3)
	})
	convey.Convey("Given a file that was made from an older tree", t, func() {
		o := newTestOperator(t)
		_, _ = o.edit("config", "set", "-path", "guild", "-key", "deadline", "-value", "2s")
		_, raw := o.run("config", "get", "-raw")
		path := filepath.Join(t.TempDir(), "tree.json")
		write := func(old, next string) {
			convey.So(os.WriteFile(path, []byte(strings.ReplaceAll(raw, old, next)), 0o600), convey.ShouldBeNil)
		}
		_, _ = o.edit("config", "set", "-path", "guild", "-key", "viewAge", "-value", "5s")
		convey.Convey("config put keeps values that others set since then", func() {
			write("2s", "3s")
			code, _ := o.edit("config", "put", "-file", path)
			convey.So(code, convey.ShouldEqual, exitOK)
			_, out := o.run("config", "get", "-raw")
			convey.So(out, convey.ShouldContainSubstring, `"deadline": "3s"`)
			convey.So(out, convey.ShouldContainSubstring, `"viewAge": "5s"`)
		})
		convey.Convey("config put fails if another operator changed the same value", func() {
			write("2s", "3s")
			_, _ = o.edit("config", "set", "-path", "guild", "-key", "deadline", "-value", "4s")
			code, out := o.edit("config", "put", "-file", path)
			convey.So(code, convey.ShouldEqual, exitFailed)
			convey.So(out, convey.ShouldContainSubstring, `was "2s", wanted "3s", but ann set it to "4s"`)
		})
		convey.Convey("config put rejects an invalid file with all its faults", func() {
			write(`"2s"`, `"soon", "colour": 3`)
			code, out := o.edit("config", "put", "-file", path)
			convey.So(code, convey.ShouldEqual, exitUsage)
			convey.So(out, convey.ShouldContainSubstring, `key "deadline": found "soon"`)
			convey.So(out, convey.ShouldContainSubstring, `key "colour": found an unknown key`)
		})
	})
}

func TestMarkCommands(t *testing.T) {
	convey.Convey("Given a shard with one replica in each of two data centres", t, func() {
		o := newTestOperator(t)
		c := &zlcatalog.Catalog{
			Service: "s",
			Versions: []zlcatalog.Version{
				{
					Number: 1,
					Shards: [][]zlunit.Upstream{{"a", "b"}},
				},
			},
		}
		for name, dc := range map[zlunit.Upstream]zlunit.DataCentre{"a": "lowell", "b": "nashua"} {
			c.Upstreams = append(c.Upstreams, zlcatalog.Upstream{
				Name:        name,
				DataCentre:  dc,
				Address:     "127.0.0.1:1",
				Slots:       1,
				Connections: 1,
				ColdLimit:   1,
			})
			o.put(zlplatform.ObjectRoster, string(dc), zlroster.Roster{
				DataCentre: dc,
			})
		}
		o.put(zlplatform.ObjectCatalog, "s", c)
		code, _ := o.edit("mark", "dc", "lowell", "out")
		convey.So(code, convey.ShouldEqual, exitOK)
		convey.Convey("marking the last data centre out requires -force", func() {
			code, out := o.edit("mark", "dc", "nashua", "out")
			convey.So(code, convey.ShouldEqual, exitFailed)
			convey.So(out, convey.ShouldContainSubstring, `data centre "nashua" is the last in service`)
			code, _ = o.edit("mark", "dc", "nashua", "out", "-force")
			convey.So(code, convey.ShouldEqual, exitOK)
		})
		convey.Convey("marking the last replica of a shard out is refused", func() {
			code, out := o.edit("mark", "upstream", "b", "out")
			convey.So(code, convey.ShouldEqual, exitFailed)
			convey.So(out, convey.ShouldContainSubstring, "shard 0 would have no replica in service")
		})
		convey.Convey("an unknown name is refused, and marking in is accepted", func() {
			code, _ := o.edit("mark", "vm", "nobody", "out")
			convey.So(code, convey.ShouldEqual, exitFailed)
			code, _ = o.edit("mark", "dc", "lowell", "in")
			convey.So(code, convey.ShouldEqual, exitOK)
			_, out := o.run("mark", "list")
			convey.So(out, convey.ShouldBeEmpty)
		})
	})
}
