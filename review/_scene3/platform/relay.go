package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"
)

const (
	// startTime is the time from the start of the machines to that of the traffic.
	startTime = 10 * time.Second
	readyTime = 8 * time.Second
)

// relay is one process of the project, started with the command of the deploy file.
type relay struct {
	name    string
	zone    string
	address string
	ready   string
	world   *world
	// settings is the settings file.
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// settingsOf are the settings of a deployment that differ between cases.
type settingsOf struct {
	contracts string
	bounds    string
}

// guild are the settings of the deployment guild-finder, with the figures of its page.
var guild = settingsOf{
	contracts: `["base","drain","config","cost","retry","recover","scatter","places","platform"]`,
	bounds: `seed_lag_s = 3
address_reuse_s = 2
contact_window_ms = 4000
ack_timeout_ms = 5000
catch_up_s = 4
drain_timeout_ms = 3000
grace_period_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
regression_slack_ms = 250
max_stretch_ms = 12000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 54
warmup_factor = 1.5
warmup_slack = 5
evacuation_ms = 5000
recovery_s = 12
`,
}

// The ports of relays and replicas lie below those that the system gives to outgoing
// connections, which could take a port before its process does. A case takes a block of
// them for itself, and keeps the first one bound as long as it runs.
const (
	firstPort = 12000
	lastPort  = 30000
	blockSize = 200
)

// takeBlock takes a block of ports.
func (w *world) takeBlock() error {
	blocks := rand.Perm((lastPort - firstPort) / blockSize)
	for _, b := range blocks {
		port := firstPort + b*blockSize
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		w.closers = append(w.closers, func() {
			_ = l.Close()
		})
		w.nextPort, w.endPort = port+1, port+blockSize
		return nil
	}
	return errors.New("no block of ports is free")
}

// freePort returns a port of the block that is free for TCP and UDP, and not given out
// before.
func (w *world) freePort() (int, error) {
	for w.nextPort < w.endPort {
		port := w.nextPort
		w.nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		return port, nil
	}
	return 0, errors.New("no free port")
}

// addRelay starts a relay that reaches the store at an address.
func (w *world) addRelay(name, zone, storeAddress string, s settingsOf) (*relay, error) {
	var ports [3]int
	for i := range ports {
		var err error
		if ports[i], err = w.freePort(); err != nil {
			return nil, err
		}
	}
	r := &relay{
		name:    name,
		zone:    zone,
		address: fmt.Sprintf("127.0.0.1:%d", ports[0]),
		ready:   fmt.Sprintf("127.0.0.1:%d", ports[1]),
		world:   w,
	}
	r.settings = fmt.Sprintf(`node_name = %q
role = "relay"
machine_class = "frontend"
serves = ["frontend"]
ip_address = "127.0.0.1"
zone = %q
region = "new-england"
internal_port_range = [%d,%d]
seed_nodes = []
bootstrap = true
counts_toward_tolerance = false
discovery = "platform"
entry_point = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = %s
[zones]
nashua = "new-england"
lowell = "new-england"
worcester = "new-england"
[listen_addrs]
frontend = %q
ready = %q
[limits]
cpu_share = 0.4
cpu_cores = 1
memory_mb = 284
max_open_files = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
%s[platform]
address = %q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
`, name, zone, ports[2], ports[2], s.contracts, r.address, r.ready, s.bounds, storeAddress)
	if err := r.start(); err != nil {
		return nil, err
	}
	w.relays = append(w.relays, r)
	return r, nil
}

// start starts the process.
func (r *relay) start() error {
	w := r.world
	path := w.path(r.name + ".toml")
	if err := os.WriteFile(path, []byte(r.settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(w.path(r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() {
		_ = log.Close()
	}()
	r.cmd = exec.Command("target/zinnialock", "relay")
	r.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"),
		"HOME=" + os.Getenv("HOME"),
		"ZINNIALOCK_NODE_FILE=" + path,
	}
	r.cmd.Stdout, r.cmd.Stderr = log, log
	if err := r.cmd.Start(); err != nil {
		return err
	}
	cmd, exited := r.cmd, make(chan struct{})
	r.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	w.note("relay %s starts in %s, process %d", r.name, r.zone, cmd.Process.Pid)
	return nil
}

// restart starts the process again, as the platform does after its end: it is not the
// first start of the system any more.
func (r *relay) restart() error {
	r.settings = strings.Replace(r.settings, "bootstrap = true", "bootstrap = false", 1)
	return r.start()
}

// kill ends the process.
func (r *relay) kill() {
	_ = r.cmd.Process.Kill()
	<-r.exited
}

// startRelays starts relays, so many in each zone, and waits until the traffic may start.
func (w *world) startRelays(perZone []int, s settingsOf, storeAddress func(zone string) string) error {
	began := time.Now()
	for i, n := range perZone {
		for k := range n {
			name := fmt.Sprintf("frontend-%s-%d", zones[i], k+1)
			if _, err := w.addRelay(name, zones[i], storeAddress(zones[i]), s); err != nil {
				return err
			}
		}
	}
	for _, r := range w.relays {
		if err := r.awaitReady(began.Add(readyTime)); err != nil {
			return err
		}
	}
	w.note("%d relays are ready", len(w.relays))
	time.Sleep(time.Until(began.Add(startTime)))
	return nil
}

func (r *relay) awaitReady(until time.Time) error {
	client := &http.Client{
		Timeout: time.Second,
	}
	for time.Now().Before(until) {
		resp, err := client.Get("http://" + r.ready + "/api/readiness")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", r.name)
}
