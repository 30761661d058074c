package cmd

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// sampleLog has lines of two VMs, not in order of time, and one that is no decision.
const sampleLog = `  3.1 vm-a {"time":1000,"level":"info","vm":"vm-a","event":"belief","topic":"registry","name":"i-1","what":"added"}
  3.2 vm-b {"time":1100,"level":"info","vm":"vm-b","event":"belief","topic":"registry","name":"i-1","what":"gone"}
not a line of a daemon
{"time":1400,"level":"info","vm":"vm-a","event":"failed","request":"r-1","reason":"broken","once":true,"upstream":"i-1"}
{"time":1300,"level":"info","vm":"vm-a","event":"sent","request":"r-1","reason":"unreached","from":"i-2","to":"i-1"}
{"time":1350,"level":"info","vm":"vm-a","event":"answered","request":"r-2"}
`

// explainSample runs explain on a file with sampleLog.
func explainSample(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(path, []byte(sampleLog), 0o600); err != nil {
		t.Fatal(err)
	}
	var stdout, stderr bytes.Buffer
	code = Main(append([]string{"explain", args[0], "-logs", path}, args[1:]...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func TestExplainFromLogs(t *testing.T) {
	code, out, errs := explainSample(t, "r-1")
	if code != exitOK {
		t.Fatalf("code %d, want 0; stderr %s", code, errs)
	}
	sent, failed, belief := strings.Index(out, "sent"), strings.Index(out, "failed"), strings.Index(out, "what=added")
	if sent < 0 || failed < sent || belief < failed || strings.Contains(out, "r-2") || strings.Contains(out, "vm-b") {
		t.Fatalf("want sent, failed and the belief of vm-a in this order, and nothing of r-2 or vm-b, in\n%s", out)
	}
}

func TestExplainFromLogsAsJSON(t *testing.T) {
	_, out, _ := explainSample(t, "r-1", "-format", "json")
	var h requestHistory
	if err := json.Unmarshal([]byte(out), &h); err != nil || len(h.Lines) != 2 || len(h.Before) != 1 {
		t.Fatalf("decoding: %v; want 2 lines and 1 belief in %s", err, out)
	}
}

func TestExplainFromLogsFailsForUnknownRequest(t *testing.T) {
	code, out, _ := explainSample(t, "r-9")
	if code != exitFailed || !strings.Contains(out, "r-9") {
		t.Fatalf("code %d, want 1; stdout %s, want the request id in it", code, out)
	}
	var stdout, stderr bytes.Buffer
	if code := Main([]string{"explain", "r-1", "-logs", "/no/such/file"}, &stdout, &stderr); code != exitFailed {
		t.Fatalf("missing log file: got code %d, want 1", code)
	}
}
