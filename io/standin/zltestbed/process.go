package zltestbed

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/process/zldaemon"

	"github.com/rotisserie/eris"
)

// DaemonProcess is a daemon that runs as a child process.
type DaemonProcess struct {
	// Name is the name of its VM.
	Name zlunit.VM
	// DataCentre is the data centre of its VM.
	DataCentre zlunit.DataCentre
	// Ports holds its addresses for callers, operators and other daemons, in
	// this order.
	Ports []string

	// index is the number of the VM in its data centre, from 0.
	index   int
	command *exec.Cmd
	client  *http.Client
	// ended is closed when the process has ended; exitErr is set before.
	ended   chan struct{}
	exitErr error
}

const (
	// startPollInterval is the time between status requests to a process that
	// starts.
	startPollInterval = 10 * time.Millisecond
	// portRetryDelay is the delay before a restart is tried again because another
	// process may use one of its ports.
	portRetryDelay = 300 * time.Millisecond
	// stopMargin is added to stopLimit until a stop counts as failed, because a
	// process takes longer to shut down on a busy machine.
	stopMargin = 5 * time.Second
)

// RunProcess starts Program as the daemon of VM i of a data centre, on the given
// addresses, and waits until it answers. The output of all its runs is appended to
// one log file for each VM in Dir. The process is not added to the testbed's daemons.
func (t *Testbed) RunProcess(dc zlunit.DataCentre, i int, ports []string) (*DaemonProcess, error) {
	name := fmt.Sprintf("%s-%d", dc, i+1)
	// Each VM has a folder of its own, so that no daemon reads files that another
	// start overwrites.
	dir := filepath.Join(t.Dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, eris.Wrap(err, "create the folder of a daemon process")
	}
	files, err := t.authority.WriteFiles(dir, name)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "settings.toml")
	cfg := t.daemonConfig(name, dc, ports)
	cfg.Certificate, cfg.Key, cfg.Authority = files.Certificate, files.Key, files.Authority
	if err := os.WriteFile(path, []byte(cfg.Text()), 0o600); err != nil {
		return nil, eris.Wrap(err, "write the settings of a daemon process")
	}
	out, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "open the log of a daemon process")
	}
	defer func() {
		_ = out.Close()
	}()
	p := &DaemonProcess{
		Name:       zlunit.VM(name),
		DataCentre: dc,
		Ports:      ports,
		index:      i,
		command:    exec.Command(t.Program, "serve", "-config", path),
		client: &http.Client{
			Transport: &http.Transport{
				DisableKeepAlives: true,
			},
			Timeout: time.Second,
		},
		ended: make(chan struct{}),
	}
	p.command.Stdout = out
	p.command.Stderr = out
	if err := p.command.Start(); err != nil {
		return nil, eris.Wrap(err, "start a daemon process")
	}
	go func() {
		p.exitErr = p.command.Wait()
		close(p.ended)
	}()
	return p, p.waitAnswering()
}

// waitAnswering waits until the process answers status requests. It fails if the
// process ends before, for example because one of its ports is in use.
func (p *DaemonProcess) waitAnswering() error {
	for start := time.Now(); time.Since(start) < readyTimeout; {
		if _, err := p.Status(); err == nil {
			return nil
		}
		select {
		case <-p.ended:
			if p.exitErr == nil {
				return eris.Errorf("process %s ended with exit code 0 before it answered", p.Name)
			}
			return eris.Wrapf(p.exitErr, "process %s ended before it answered", p.Name)
		case <-time.After(startPollInterval):
		}
	}
	p.Kill()
	return eris.Errorf("process %s does not answer status requests", p.Name)
}

// RestartProcess restarts the daemon of a process that has ended, on the same ports. It
// tries up to maxPortAttempts times, because another process may use one of them
// for a moment.
func (t *Testbed) RestartProcess(p *DaemonProcess) (*DaemonProcess, error) {
	var next *DaemonProcess
	var err error
	for range maxPortAttempts {
		if next, err = t.RunProcess(p.DataCentre, p.index, p.Ports); err == nil {
			return next, nil
		}
		time.Sleep(portRetryDelay)
	}
	return nil, err
}

// Processes returns the processes that Run and RunDaemon started. It does not
// include those of RunProcess and RestartProcess.
func (t *Testbed) Processes() []*DaemonProcess {
	var out []*DaemonProcess
	for _, d := range t.daemons {
		if p, ok := d.(*DaemonProcess); ok {
			out = append(out, p)
		}
	}
	return out
}

// Target implements daemon.
func (p *DaemonProcess) Target() string {
	return p.Ports[0]
}

// Status requests the status of the process; it fails if there is no valid answer.
func (p *DaemonProcess) Status() (*zldaemon.Status, error) {
	resp, err := p.client.Get("http://" + p.Ports[1] + "/status")
	if err != nil {
		return nil, eris.Wrapf(err, "read the status of %s", p.Name)
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	s := &zldaemon.Status{}
	return s, eris.Wrapf(json.NewDecoder(resp.Body).Decode(s), "read the status of %s", p.Name)
}

// Ready implements daemon.
func (p *DaemonProcess) Ready(n int) bool {
	s, err := p.Status()
	return err == nil && s.Ready && len(s.Members) == n
}

// Held implements daemon.
func (p *DaemonProcess) Held() int {
	s, err := p.Status()
	if err != nil {
		return 0
	}
	n := 0
	for _, h := range s.Fleet.Held {
		if h.Usable {
			n++
		}
	}
	return n
}

// Signal sends a signal to the process.
func (p *DaemonProcess) Signal(s syscall.Signal) error {
	return eris.Wrapf(p.command.Process.Signal(s), "send a signal to %s", p.Name)
}

// PID returns the id of the process.
func (p *DaemonProcess) PID() int {
	return p.command.Process.Pid
}

// Ended returns a channel that is closed when the process has ended.
func (p *DaemonProcess) Ended() <-chan struct{} {
	return p.ended
}

// Kill implements daemon.
func (p *DaemonProcess) Kill() {
	// It fails only if the process has ended already.
	_ = p.command.Process.Kill()
	<-p.ended
}

// Stop implements daemon. If the process outlasts stopLimit and stopMargin, it is
// ended.
func (p *DaemonProcess) Stop() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.ended:
	case <-time.After(stopLimit + stopMargin):
		// SIGQUIT makes the process write its goroutines to its log.
		_ = p.Signal(syscall.SIGQUIT)
		<-p.ended
		return eris.Errorf("planned stop of %s took longer than %v", p.Name, stopLimit+stopMargin)
	}
	var exit *exec.ExitError
	if errors.As(p.exitErr, &exit) {
		return eris.Wrapf(p.exitErr, "planned stop of %s", p.Name)
	}
	return p.exitErr
}
