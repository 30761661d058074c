package zltestbed

import (
	"context"
	"crypto/tls"
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
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/connection/zlpeer"
	"zinnialock/io/process/zlload"
	"zinnialock/io/request/zlfront"

	"github.com/quic-go/quic-go"
)

const (
	crowdClients = 200
	// crowdHeadBytes is what each client sends of a head and holds open, over the limit of
	// 20 KB of zlconnlimit.
	crowdHeadBytes = 60_000
	// crowdPeakKB is what a process of the relay may take, see platform.TestCrowdOfCallersIsBounded,
	// and 8 MB for incomplete heads, which serve allows whatever its VM, with the collector's share.
	crowdPeakKB = 46 << 10
	// serveMemoryKB is the memory of the VM that the limits of serve are made for.
	serveMemoryKB = 256 << 10
	// openingPackets is how many connections each client begins, and openingTime how long it
	// waits before it begins the next one.
	openingPackets = 50
	openingTime    = 30 * time.Millisecond
)

// crowdBed is one daemon as operators run it.
type crowdBed struct {
	*DaemonProcess
}

func newCrowdBed(t *testing.T) *crowdBed {
	t.Helper()
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
	t.Cleanup(bed.Close)
	if err := bed.Run(context.Background()); err != nil {
		t.Fatal(err)
	}
	return &crowdBed{
		DaemonProcess: bed.Processes()[0],
	}
}

// checkAnswer checks that an ordinary query is answered.
func (p *crowdBed) checkAnswer(t *testing.T, when string) {
	t.Helper()
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

// checkPeak checks the peak of the resident memory, which is there only while the process lives.
func (p *crowdBed) checkPeak(t *testing.T, limitKB int) {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	if kb, err := strconv.Atoi(strings.Fields(rest)[0]); err != nil || kb > limitKB {
		t.Errorf("resident memory reached %d KB (%v), want at most %d", kb, err, limitKB)
	} else {
		t.Logf("peak %d KB of %d", kb, limitKB)
	}
}

// runCrowd runs send on crowdClients connections, which stay open until the function that it
// returns is called.
func runCrowd(address string, send func(c net.Conn)) (stop func()) {
	release := make(chan struct{})
	var sent, ended sync.WaitGroup
	for range crowdClients {
		sent.Add(1)
		ended.Go(func() {
			c, err := net.Dial("tcp", address)
			if err == nil {
				send(c)
			}
			sent.Done()
			<-release
			if err == nil {
				_ = c.Close()
			}
		})
	}
	sent.Wait()
	return func() {
		close(release)
		ended.Wait()
	}
}

// Guards against callers of zinnialock serve that hold long heads open and take more memory
// than the VM has: the process lives, within its bound, and answers an ordinary query after that.
func TestCrowdOfCallersOfServeIsBounded(t *testing.T) {
	p := newCrowdBed(t)
	var lines strings.Builder
	for i := range crowdHeadBytes / 7 {
		fmt.Fprintf(&lines, "X%03x:\r\n", i%4096)
	}
	stop := runCrowd(p.Ports[0], func(c net.Conn) {
		_, _ = io.WriteString(c, "POST "+zlfront.Path+" HTTP/1.1\r\nHost: h\r\n"+lines.String())
	})
	p.checkAnswer(t, "beside")
	stop()
	p.checkAnswer(t, "after")
	p.checkPeak(t, crowdPeakKB)
}

// Guards against clients of the admin interface that hold the body of a request open which
// net/http would answer itself.
func TestCrowdOfOperatorsOfServeIsAnswered(t *testing.T) {
	p := newCrowdBed(t)
	stop := runCrowd(p.Ports[1], func(c net.Conn) {
		_, _ = io.WriteString(c, "OPTIONS * HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n")
	})
	client := &http.Client{
		Timeout: 10 * time.Second,
	}
	if resp, err := client.Get("http://" + p.Ports[1] + "/readyz"); err != nil {
		t.Errorf("no answer beside the crowd: %v", err)
	} else {
		_ = resp.Body.Close()
	}
	p.checkAnswer(t, "beside")
	stop()
	p.checkPeak(t, crowdPeakKB)
}

// Guards against clients that begin connections to the listener for other daemons and never go
// on: the process lives, within the memory of the VM, and answers an ordinary query after that.
func TestOpeningPacketsToServeAreBounded(t *testing.T) {
	p := newCrowdBed(t)
	address, err := net.ResolveUDPAddr("udp", p.Ports[2])
	if err != nil {
		t.Fatal(err)
	}
	var clients sync.WaitGroup
	for range crowdClients {
		clients.Go(func() {
			for range openingPackets {
				openConnection(address)
			}
		})
	}
	clients.Wait()
	p.checkAnswer(t, "after")
	p.checkPeak(t, serveMemoryKB)
}

// openConnection sends the opening packet of a connection and is gone when the reply comes.
func openConnection(address net.Addr) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{
		IP: net.IPv4(127, 0, 0, 1),
	})
	if err != nil {
		return
	}
	defer func() {
		_ = socket.Close()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), openingTime)
	defer cancel()
	_, _ = quic.Dial(ctx, socket, address, &tls.Config{
		InsecureSkipVerify: true,
		NextProtos:         []string{zlpeer.Protocol},
	}, nil)
}
