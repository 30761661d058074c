package zlconfig

import (
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestExampleFileLoads(t *testing.T) {
	convey.Convey("The example file loads, and every key has an entry", t, func() {
		cfg, entries, err := Load("../../../zinnialock.example.toml")
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(cfg.Name), convey.ShouldEqual, "nashua-1")
		convey.So(len(entries), convey.ShouldEqual, len(fields))
	})
}

func TestParseReportsAllFaultsTogether(t *testing.T) {
	convey.Convey("Given a file with several faults", t, func() {
		_, _, err := Parse("bad.toml", []byte(strings.Join([]string{
			"[daemon]",
			"name = \"n 1\"",
			"dataCentre = \"nashua\"",
			"deployment = 3",
			"colour = \"red\"",
			"[listen]",
			"caller = \"localhost:7100\"",
			"admin = \"127.0.0.1:7101\"",
			"  peer = \"127.0.0.1:7102\"",
			"[platform]",
			"address = \"127.0.0.1:7000\"",
			"timeout = \"2\"",
			"[stop]",
			"grace = \"2h\"",
		}, "\n")))
		convey.So(err, convey.ShouldNotBeNil)
		text := err.Error()
		for _, want := range []string{
			`bad.toml:2:1: key "daemon.name": found string "n 1", allowed is a name`,
			`bad.toml:4:1: key "daemon.deployment": found integer "3"`,
			`bad.toml:5:1: key "daemon.colour": found an unknown key`,
			`bad.toml:7:1: key "listen.caller": found string "localhost:7100", allowed is an IP address`,
			`bad.toml:12:1: key "platform.timeout": found string "2", allowed is a duration with its unit`,
			`bad.toml:14:1: key "stop.grace": found string "2h"`,
			`key "keys.key": found nothing`,
		} {
			convey.So(text, convey.ShouldContainSubstring, want)
		}
	})
}
