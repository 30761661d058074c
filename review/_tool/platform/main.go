// Command tool holds the stand-ins of the cases of this review, and runs one case: it starts
// the program as separate processes on loopback addresses, on the real clock.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// The ports of a VM, and how many VMs a case has at most.
const (
	callerPort  = 8226
	readyPort   = 8227
	peerPort    = 7740
	metricsPort = 9464
	maxVMs      = 9
)

var (
	began   = time.Now()
	record  *os.File
	recMu   sync.Mutex
	workDir string
	// network is the third byte of the loopback addresses of the VMs.
	network int
)

// say writes a line to the record.
func say(format string, args ...any) {
	recMu.Lock()
	defer recMu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	if record != nil {
		_, _ = record.WriteString(line)
	}
	_, _ = os.Stdout.WriteString(line)
}

func cannotRun(format string, args ...any) {
	say("the case could not run: "+format, args...)
	endAll()
	os.Exit(exitNotRun)
}

// vm is one process of the program.
type vm struct {
	name, zone, host, settings, frontend, ready string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

var (
	vmsMu sync.Mutex
	vms   []*vm
)

func endAll() {
	vmsMu.Lock()
	defer vmsMu.Unlock()
	for _, v := range vms {
		v.signal(syscall.SIGKILL)
	}
	for _, v := range vms {
		if v.exited != nil {
			<-v.exited
		}
	}
	_ = os.RemoveAll(workDir)
}

const settingsText = `node_name = "%[1]s"
role = "relay"
machine_class = "frontend"
serves = ["frontend"]
ip_address = "%[3]s"
zone = "%[2]s"
region = "new-england"
internal_port_range = [%[8]d,%[9]d]
seed_nodes = []
bootstrap = %[7]v
discovery = "platform"
entry_point = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places","platform"]
[zones]
nashua = "new-england"
lowell = "new-england"
worcester = "new-england"
[listen_addrs]
frontend = "%[4]s"
ready = "%[5]s"
[limits]
cpu_share = 0.4
cpu_cores = 1
memory_mb = 284
max_open_files = 4100
link_mbps = 1000.0
disk_mb = 0
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
[platform]
address = "%[6]s"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
`

// newVM prepares a process of the program; n numbers its loopback address.
func newVM(name, zone string, n int, storeAddress string) *vm {
	host := fmt.Sprintf("127.0.%d.%d", network, n)
	v := &vm{
		name: name, zone: zone, host: host,
		frontend: fmt.Sprintf("%s:%d", host, callerPort), ready: fmt.Sprintf("%s:%d", host, readyPort),
		settings: filepath.Join(workDir, name+".toml"),
	}
	v.writeSettings(storeAddress, true)
	vmsMu.Lock()
	vms = append(vms, v)
	vmsMu.Unlock()
	return v
}

func (v *vm) writeSettings(storeAddress string, bootstrap bool) {
	text := fmt.Sprintf(settingsText, v.name, v.zone, v.host, v.frontend, v.ready, storeAddress, bootstrap, peerPort, peerPort+15)
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
}

// start starts the process with the command of the deploy file.
func (v *vm) start() {
	cmd := exec.Command("target/zinnialock", "relay")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ZINNIALOCK_NODE_FILE=" + v.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(workDir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		cannotRun("start %s: %v", v.name, err)
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.exited = cmd, exited
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s)
	}
}

// freeNetwork returns a network 127.0.N.0/24 in which the ports of the program are free.
func freeNetwork() int {
	for range 100 {
		n := 10 + rand.IntN(240)
		if isFree(n) {
			return n
		}
	}
	cannotRun("no free loopback addresses")
	return 0
}

func isFree(n int) bool {
	for host := 1; host <= maxVMs; host++ {
		for _, port := range []int{callerPort, readyPort, peerPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:%d", n, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func main() {
	name := flag.String("case", "", "the case to run")
	dir := flag.String("dir", "", "the folder for record.txt")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	keep := flag.String("logs", "", "a folder to copy the processes' logs to")
	flag.Parse()
	var err error
	if workDir, err = os.MkdirTemp("", "review"); err != nil {
		cannotRun("temporary folder: %v", err)
	}
	if *dir != "" {
		if record, err = os.Create(filepath.Join(*dir, "record.txt")); err != nil {
			cannotRun("record: %v", err)
		}
	}
	network = freeNetwork()
	c, ok := cases[*name]
	if !ok {
		cannotRun("no case %q", *name)
	}
	time.AfterFunc(115*time.Second, func() { cannotRun("it took over 115 s") })
	broken := c(*trouble)
	if *keep != "" {
		_ = os.CopyFS(*keep, os.DirFS(workDir))
	}
	endAll()
	if broken {
		say("BROKEN")
		os.Exit(exitBroken)
	}
	say("HELD")
	os.Exit(exitHeld)
}
