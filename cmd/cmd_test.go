package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"zinnialock/io/process/zlload"
)

// run runs a command line and returns its exit code and output.
func run(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = Main(args, &out, &err)
	return code, out.String(), err.String()
}

// helpArguments lists every subcommand as it is typed.
func helpArguments() []string {
	var out []string
	for _, c := range allCommands() {
		out = append(out, c.name)
	}
	for _, c := range standinCommands() {
		out = append(out, "standin "+c.name)
	}
	return out
}

func TestEveryCommandHasHelp(t *testing.T) {
	for _, line := range helpArguments() {
		for _, flag := range []string{"-h", "--help"} {
			code, stdout, stderr := run(append(strings.Fields(line), flag)...)
			if code != exitOK || stderr != "" || !strings.Contains(stdout, "Usage: zinnialock "+line) {
				t.Errorf("%s %s: code %d, want 0; stdout %q, want its usage; stderr %q, want nothing", line, flag, code, stdout, stderr)
			}
		}
	}
	code, stdout, _ := run("help")
	for _, c := range allCommands() {
		if code != exitOK || !strings.Contains(stdout, "  "+c.name+" ") {
			t.Errorf("help: code %d, want 0; stdout %q, want a line for %s", code, stdout, c.name)
		}
	}
}

// TestUsageErrors checks that invalid command lines end with code 2 and an error that says
// what was found and what is allowed, and that nothing is printed to stdout.
func TestUsageErrors(t *testing.T) {
	for line, want := range map[string]string{
		"":                               "Usage: zinnialock SUBCOMMAND",
		"qeury":                          `did you mean "query"?`,
		"xxxxxxxxxxxx":                   "`zinnialock help` lists all subcommands",
		"standin":                        "Usage: zinnialock standin SUBCOMMAND",
		"standin platfor":                `did you mean "standin platform"?`,
		"load -rat 5":                    "-rat",
		"load extra":                     `unexpected "extra"`,
		"quarantine -lift 12":            `lift: fingerprint: found "12", allowed are 16 hexadecimal digits`,
		"load -rate 0":                   "flag -rate: found 0, allowed is above 0 to 1e+06",
		"load -rate -3":                  "flag -rate: found -3, allowed is above 0",
		"load -rate NaN":                 "flag -rate: found NaN",
		"load -rate x":                   "-rate",
		"load -time -1s":                 "flag -time: found -1s, allowed is 1ms to 24h0m0s",
		"load -time 5":                   "-time",
		"load -deadline 0":               "flag -deadline: found 0s, allowed is 1ms to 5m0s",
		"load -targets=":                 "flag -targets: found nothing",
		"load -targets a:1":              `flag -targets: found "a:1", allowed is an IP address and a port`,
		"load -targets 1.2.3.4,":         `flag -targets: found ""`,
		"load -platform host:1":          `flag -platform: found "host:1"`,
		"load -once 1.5":                 "flag -once: found 1.5, allowed is 0 to 1",
		"load -kind=":                    "flag -kind: found nothing",
		"load -format xml":               `flag -format: found "xml", allowed is text or json`,
		"query":                          "flag -service: found nothing, allowed is the name of a service",
		"query -target x":                `flag -target: found "x"`,
		"query -service s -least 2":      "flag -least: found 2, allowed is 0 to 1",
		"query -service s -deadline -1s": "flag -deadline: found -1s",
		"query -service s -retry":        "flag -id: found nothing",
		"explain":                        "found no request id",
		"explain r -admin here":          `flag -admin: found "here"`,
		"explain r -format yaml":         `flag -format: found "yaml"`,
		"status -admin here":             `flag -admin: found "here"`,
		"events -admin here":             `flag -admin: found "here"`,
		"experiment -rate 0":             "flag -rate: found 0",
		"experiment -straggle 3":         "flag -straggle: found 3, allowed is 0 to 1",
		"relay -cross-data-centre near":  `flag -cross-data-centre: found "near", allowed is fixed or adaptive`,
		"capacity":                       "capacity",
		"demo -user nobody":              `flag -user: found "nobody", allowed is guild or vaxjo`,
		"demo -rate 0":                   "flag -rate: found 0",
		"demo -time 1s":                  "flag -time: found 1s, allowed is 12s to 30s",
		"demo -once -1":                  "flag -once: found -1, allowed is 0 to 1",
		"serve -config none.toml":        "none.toml",
		"check -config none.toml":        "none.toml",
		"check -format no":               `flag -format: found "no"`,
		"check -platform none.json":      "none.json",
		"check -platform=":               "flag -platform: found nothing",
		"check -in-force none.json":      "flag -platform: found nothing",
		"standin platform -listen x":     `flag -listen: found "x"`,
		"standin platform -writes -1":    "flag -writes: found -1, allowed is 0 to 1e+06",
		"standin platform -reads NaN":    "flag -reads: found NaN",
		"standin platform -vm-lag -1s":   "flag -vm-lag: found -1s",
		"standin upstream":               "flag -settings: found nothing, allowed is a file",
		"standin upstream -listen y -settings none": `flag -listen: found "y"`,
		"standin upstream -settings none.json":      "flag -settings: open none.json",
		"standin keys":                              "flag -names: found nothing",
	} {
		code, stdout, stderr := run(strings.Fields(line)...)
		if code != exitUsage || stdout != "" || !strings.Contains(stderr, want) {
			t.Errorf("%q: code %d, want 2; stdout %q; stderr %q, want %q in it", line, code, stdout, stderr, want)
		}
	}
}

func TestStandinUpstreamReportsEachInvalidKey(t *testing.T) {
	path := filepath.Join(t.TempDir(), "u.json")
	for settings, want := range map[string][]string{
		`{"slotz": 1}`:                     {"slotz"},
		`{`:                                {path},
		`{"name": "u", "slots": -1}`:       {`"service"`, `key "slots": found -1, allowed is 1 or more`, `"coldLimit"`},
		`{"name": "u", "serviceMs": -0.5}`: {"found -0.5, allowed is 0 or more"},
	} {
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			t.Fatal(err)
		}
		code, _, stderr := run("standin", "upstream", "-settings", path)
		for _, w := range want {
			if code != exitUsage || !strings.Contains(stderr, w) {
				t.Errorf("settings %s: code %d, want 2; stderr %q, want %q in it", settings, code, stderr, w)
			}
		}
	}
}

// TestCommandsFailWhenNothingListens checks that commands fail with the address instead of
// hanging when nothing listens there.
func TestCommandsFailWhenNothingListens(t *testing.T) {
	for _, line := range []string{
		"load -platform 127.0.0.1:1",
		"query -target 127.0.0.1:1 -service s",
		"explain r -admin 127.0.0.1:1",
	} {
		code, stdout, stderr := run(strings.Fields(line)...)
		if code != exitFailed || stdout != "" || !strings.Contains(stderr, "127.0.0.1:1") {
			t.Errorf("%q: code %d, want 1; stdout %q, want nothing; stderr %q, want the address in it", line, code, stdout, stderr)
		}
	}
}

// Guards against a configuration with errors that scripts take for a valid one.
func TestCheckOfATableExitCode(t *testing.T) {
	const table = "../platform/testdata/table.json"
	for line, want := range map[string]int{
		"check -platform " + table:                               exitOK,
		"check -json -platform " + table + " -in-force " + table: exitFailed,
	} {
		if code, stdout, stderr := run(strings.Fields(line)...); code != want || stdout == "" {
			t.Errorf("%s: code %d, want %d; stdout %q, stderr %q", line, code, want, stdout, stderr)
		}
	}
}

// A load without answers must not pass, since it checks nothing.
func TestLoadExitCodeFailsOnViolationsOrNoAnswers(t *testing.T) {
	good := zlload.Summary{
		Answered: 1,
	}
	bad := good
	bad.AddViolations([]string{"something"})
	for _, c := range []struct {
		summary zlload.Summary
		want    int
	}{
		{
			summary: good,
			want:    exitOK,
		},
		{
			summary: bad,
			want:    exitFailed,
		},
		{
			want: exitFailed,
		},
	} {
		if got := loadExitCode(&c.summary); got != c.want {
			t.Errorf("summary %+v: got code %d, want %d", c.summary, got, c.want)
		}
	}
}
