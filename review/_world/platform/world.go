// Command world plays the cases of this review: relays as processes, and stand-ins of the
// platform's store, of replicas and of clients in this process.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	w     *bufio.Writer
	start time.Time
}

func (r *record) quiet(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// line writes a line that is also printed.
func (r *record) line(format string, args ...any) {
	r.quiet(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// machine is one machine of the system with its process.
type machine struct {
	name, zone, ip string
	store          string
	cmd            *exec.Cmd
	log            *os.File
	exited         chan struct{}
}

func (m *machine) callers() string { return m.ip + ":18226" }
func (m *machine) ready() string   { return m.ip + ":18227" }

// world is one deployment.
type world struct {
	rec      *record
	dir      string
	base     string
	hosts    int
	store    *store
	ledger   *ledger
	machines []*machine
	replicas []*replica
	// contracts and bounds are added to the settings.
	contracts string
	bounds    string
	trouble   bool
}

func newWorld(folder string) (*world, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "world")
	if err != nil {
		return nil, err
	}
	rec := &record{w: bufio.NewWriter(f), start: time.Now()}
	return &world{
		rec:     rec,
		dir:     dir,
		base:    fmt.Sprintf("127.%d.%d.", 1+rand.Intn(250), 1+rand.Intn(250)),
		store:   newStore(rec),
		ledger:  &ledger{},
		trouble: os.Getenv("TROUBLE") != "0",
	}, nil
}

func (w *world) ip() string {
	w.hosts++
	return fmt.Sprintf("%s%d", w.base, w.hosts)
}

// addMachine adds a machine without starting it.
func (w *world) addMachine(zone string) (*machine, error) {
	m := &machine{name: fmt.Sprintf("frontend-%s-%d", zone, len(w.machines)+1), zone: zone, ip: w.ip()}
	address, err := w.store.listen(w.base+"250", m.name)
	if err != nil {
		return nil, err
	}
	m.store = address
	w.machines = append(w.machines, m)
	return m, nil
}

const settings = `node_name = %q
role = "relay"
machine_class = "frontend"
serves = ["frontend"]
ip_address = %q
zone = %q
region = "new-england"
internal_port_range = [17740,17755]
seed_nodes = []
bootstrap = %t
counts_toward_tolerance = false
discovery = "platform"
entry_point = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places","platform"%s]
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
seed_lag_s = 3
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
%s[platform]
address = %q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
`

// run starts the process of a machine with the command of the deploy file.
func (w *world) run(m *machine, bootstrap bool) error {
	path := filepath.Join(w.dir, m.name+".toml")
	text := fmt.Sprintf(settings, m.name, m.ip, m.zone, bootstrap, w.contracts, m.callers(), m.ready(), w.bounds, m.store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	if m.log == nil {
		f, err := os.Create(filepath.Join(w.dir, m.name+".log"))
		if err != nil {
			return err
		}
		m.log = f
	}
	bin := os.Getenv("WORLD_RELAY")
	if bin == "" {
		bin = "target/zinnialock"
	}
	m.cmd = exec.Command(bin, "relay")
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "LANG=C", "ZINNIALOCK_NODE_FILE=" + path}
	// The process ends with this one, however that ends.
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.cmd.Stdout = m.log
	m.cmd.Stderr = m.log
	if err := m.cmd.Start(); err != nil {
		return err
	}
	w.rec.line("%s starts, bootstrap %t", m.name, bootstrap)
	exited := make(chan struct{})
	m.exited = exited
	cmd := m.cmd
	go func() {
		err := cmd.Wait()
		w.rec.line("%s ended: %v", m.name, err)
		close(exited)
	}()
	return nil
}

// startAll starts all processes and waits until they are ready.
func (w *world) startAll() error {
	for _, m := range w.machines {
		if err := w.run(m, true); err != nil {
			return err
		}
	}
	for _, m := range w.machines {
		if !w.awaitReady(m, 10*time.Second) {
			return fmt.Errorf("%s is not ready", m.name)
		}
	}
	return nil
}

func (w *world) awaitReady(m *machine, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + m.ready() + "/api/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// addReplica starts a replica.
func (w *world) addReplica(service, zone string, slots int, work, cold time.Duration) (*replica, error) {
	r := &replica{
		id: fmt.Sprintf("i-%s-%d", service, len(w.replicas)), service: service, zone: zone, slots: slots, work: work,
		store: w.store, ledger: w.ledger, rec: w.rec,
	}
	if cold > 0 {
		r.coldUntil = time.Now().Add(cold)
	}
	w.replicas = append(w.replicas, r)
	return r, r.start(w.base + "240")
}

// end ends all processes.
func (w *world) end() {
	for _, m := range w.machines {
		if m.cmd == nil {
			continue
		}
		select {
		case <-m.exited:
		default:
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}
	w.rec.mu.Lock()
	_ = w.rec.w.Flush()
	w.rec.mu.Unlock()
	if os.Getenv("WORLD_KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// reply is the answer that a client got.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
	kept   bool
}

// client sends requests to one machine over kept connections. It sends each request once.
type client struct {
	m    *machine
	mu   sync.Mutex
	idle []*kept
}

// kept is a connection of a client.
type kept struct {
	net.Conn
	reader *bufio.Reader
	used   int
}

func newClient(m *machine) *client {
	return &client{m: m}
}

// connect returns a kept connection, or a new one.
func (c *client) connect() (*kept, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		k := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return k, nil
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.m.callers(), time.Second)
	if err != nil {
		return nil, err
	}
	return &kept{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// do sends one request.
func (c *client) do(id, method, host, target, body string, deadline time.Duration, header map[string]string) *reply {
	k, err := c.connect()
	if err != nil {
		return &reply{err: fmt.Errorf("connect: %w", err)}
	}
	_ = k.SetDeadline(time.Now().Add(deadline))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, target, host, id, deadline.Milliseconds())
	for name, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, v)
	}
	switch {
	case header["X-Chunked"] == "true" && body != "":
		half := len(body) / 2
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	case body != "" || method == http.MethodPost:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	default:
		b.WriteString("\r\n")
	}
	sent := time.Now()
	k.used++
	r := &reply{kept: k.used > 1}
	_, err = io.WriteString(k, b.String())
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(k.reader, nil)
	}
	if err == nil {
		r.status, r.header = resp.StatusCode, resp.Header
		r.body, err = io.ReadAll(resp.Body)
	}
	r.err = err
	r.took = time.Since(sent)
	if err != nil || resp.Close {
		_ = k.Close()
		return r
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, k)
	return r
}

// pace calls f about n times a second until done is closed, each call in its own goroutine.
func pace(done <-chan struct{}, n float64, group *sync.WaitGroup, f func(i int)) {
	defer group.Done()
	start := time.Now()
	for i := 0; ; i++ {
		at := start.Add(time.Duration(float64(i) / n * float64(time.Second)))
		select {
		case <-done:
			return
		case <-time.After(time.Until(at)):
		}
		group.Add(1)
		go func() {
			defer group.Done()
			f(i)
		}()
	}
}

// route returns a route for one service.
func route(name, prefix, kind, service string, timeout, aim int) map[string]any {
	return map[string]any{
		"name": name, "hostname": "front.example", "path_prefix": prefix, "type": kind, "timeout_ms": timeout,
		"target_latency_ms": aim, "priority": 1, "service": service, "max_attempts": 2,
	}
}

// gather returns a route over shards.
func gather(name, prefix string, shards []string, timeout, aim int, least float64) map[string]any {
	return map[string]any{
		"name": name, "hostname": "front.example", "path_prefix": prefix, "type": "idempotent", "timeout_ms": timeout,
		"target_latency_ms": aim, "priority": 1, "gather": shards, "max_attempts": 2, "top_k": 4, "min_success_ratio": least,
	}
}

// config returns a configuration.
func config(version int, routes []map[string]any, services []string, tenants []map[string]any) map[string]any {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{
			"name": s, "health_check_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false,
			"warmup_s": 3.0, "warmup_per_s": 0.0,
		})
	}
	c := map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if tenants != nil {
		c["tenants"] = tenants
	}
	return c
}

// caseLimit bounds a case.
const caseLimit = 112 * time.Second

func main() {
	// The parent of a process is the thread that started it.
	runtime.LockOSThread()
	if len(os.Args) != 3 {
		fmt.Println("usage: world CASE FOLDER")
		os.Exit(2)
	}
	cases := map[string]func(w *world) (bool, error){
		"outage":   playOutage,
		"quota":    playQuota,
		"withdraw": playWithdraw,
		"join":     playJoin,
		"keys":     playKeys,
		"chaos":    playChaos, "silent": playSilent, "signed": playSigned, "kept": playKept, "double": playDouble,
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("unknown case")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	time.AfterFunc(caseLimit, func() {
		w.rec.line("the case took too long")
		w.end()
		os.Exit(2)
	})
	broken, err := play(w)
	switch {
	case err != nil:
		w.rec.line("the case could not run: %v", err)
	case broken:
		w.rec.line("the rule was broken")
	default:
		w.rec.line("the rule held")
	}
	w.end()
	switch {
	case err != nil:
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
