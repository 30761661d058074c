package zltestbed

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/process/zlload"
	"zinnialock/io/request/zlfront"
)

const (
	crowdClients = 200
	// crowdHeadBytes is what each client sends of a head and holds open, over the limit of
	// 20 KB of zlconnlimit.
	crowdHeadBytes = 60_000
	// crowdPeakKB is what a process of the relay may take, see platform.TestCrowdOfCallersIsBounded,
	// and 8 MB for incomplete heads, which serve allows whatever its VM, with the collector's share.
	crowdPeakKB = 46 << 10
)

// Guards against callers of zinnialock serve that hold long heads open and take more memory
// than the VM has: the process lives, within its bound, and answers an ordinary query after that.
func TestCrowdOfCallersOfServeIsBounded(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "zinnialock")
	if out, err := exec.Command("go", "build", "-o", program, "../../..").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	bed := &Testbed{
		Program: program,
		Dir:     dir,
		Plan: Plan{
			Deployment:  "guild",
			DataCentres: []zlunit.DataCentre{"nashua"},
			Daemons:     1,
			Services:    []ServicePlan{shardedService("finder", 1, 4, 10)},
		},
	}
	defer bed.Close()
	if err := bed.Run(context.Background()); err != nil {
		t.Fatal(err)
	}
	p := bed.Processes()[0]
	var lines strings.Builder
	for i := range crowdHeadBytes / 7 {
		fmt.Fprintf(&lines, "X%03x:\r\n", i%4096)
	}
	release := make(chan struct{})
	var sent, ended sync.WaitGroup
	for range crowdClients {
		sent.Add(1)
		ended.Go(func() {
			c, err := net.Dial("tcp", p.Ports[0])
			if err == nil {
				_, _ = io.WriteString(c, "POST "+zlfront.Path+" HTTP/1.1\r\nHost: h\r\n"+lines.String())
			}
			sent.Done()
			<-release
			if err == nil {
				_ = c.Close()
			}
		})
	}
	sent.Wait()
	answered := func(when string) {
		a, err := zlload.Post(context.Background(), http.DefaultClient, p.Target(), &zlfront.Request{
			Service:    "finder",
			Kind:       "lookup",
			Text:       "mark",
			DeadlineMs: 5000,
		})
		if err != nil || a.Refusal != nil {
			t.Errorf("%s the crowd: got answer %+v and error %v, want an answer", when, a, err)
		}
	}
	answered("beside")
	close(release)
	ended.Wait()
	answered("after")
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	if kb, err := strconv.Atoi(strings.Fields(rest)[0]); err != nil || kb > crowdPeakKB {
		t.Errorf("resident memory reached %d KB (%v), want at most %d", kb, err, crowdPeakKB)
	} else {
		t.Logf("peak %d KB of %d", kb, crowdPeakKB)
	}
}
