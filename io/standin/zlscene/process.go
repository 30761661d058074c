package zlscene

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

// Process is a daemon that runs as a process of its own. It implements entry.
type Process struct {
	Name       zlunit.VM
	DataCentre zlunit.DataCentre
	// Ports are the addresses for callers, operators and other daemons.
	Ports []string

	number  int
	command *exec.Cmd
	client  *http.Client
	ended   chan struct{}
	err     error
}

const (
	// answerLook is how often a process that starts is asked.
	answerLook = 10 * time.Millisecond
	// portPause is how long a port that another process took is waited for.
	portPause = 300 * time.Millisecond
	// stopSlack is what a process may take beyond the limit of its planned stop,
	// to end its parts on a busy machine.
	stopSlack = 5 * time.Second
)

// RunProcess starts the program as the daemon of entry VM i of a data centre, at
// the given ports. Its output goes to a file for each VM, one life after another.
func (s *Scene) RunProcess(dc zlunit.DataCentre, i int, ports []string) (*Process, error) {
	name := fmt.Sprintf("%s-%d", dc, i+1)
	// Each VM has a folder of its own, so that no file changes under another.
	dir := filepath.Join(s.Dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, eris.Wrap(err, "files of a process")
	}
	files, err := s.authority.WriteFiles(dir, name)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "settings.toml")
	cfg := s.config(name, dc, ports)
	cfg.Certificate, cfg.Key, cfg.Authority = files.Certificate, files.Key, files.Authority
	if err := os.WriteFile(path, []byte(cfg.Text()), 0o600); err != nil {
		return nil, eris.Wrap(err, "settings of a process")
	}
	out, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "log of a process")
	}
	defer func() {
		_ = out.Close()
	}()
	p := &Process{
		Name:       zlunit.VM(name),
		DataCentre: dc,
		Ports:      ports,
		number:     i,
		command:    exec.Command(s.Program, "serve", "-config", path),
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
		return nil, eris.Wrap(err, "process")
	}
	go func() {
		p.err = p.command.Wait()
		close(p.ended)
	}()
	return p, p.answers()
}

// answers waits until the process answers its operators; the error tells that it
// ended before, as where another took one of its ports.
func (p *Process) answers() error {
	for begun := time.Now(); time.Since(begun) < readyWait; {
		if _, err := p.Status(); err == nil {
			return nil
		}
		select {
		case <-p.ended:
			return eris.Wrapf(p.err, "process %s", p.Name)
		case <-time.After(answerLook):
		}
	}
	p.Kill()
	return eris.Errorf("process %s does not answer", p.Name)
}

// Again starts the daemon of a process that ended once more, at the same ports. It
// tries again where another process has one of them for a moment.
func (s *Scene) Again(p *Process) (*Process, error) {
	var next *Process
	var err error
	for range portTries {
		if next, err = s.RunProcess(p.DataCentre, p.number, p.Ports); err == nil {
			return next, nil
		}
		time.Sleep(portPause)
	}
	return nil, err
}

// Processes returns the daemons of the start that run as processes.
func (s *Scene) Processes() []*Process {
	var out []*Process
	for _, e := range s.entries {
		if p, ok := e.(*Process); ok {
			out = append(out, p)
		}
	}
	return out
}

// Target implements entry.
func (p *Process) Target() string {
	return p.Ports[0]
}

// Status asks the process; the error tells that it did not answer.
func (p *Process) Status() (*zldaemon.Status, error) {
	resp, err := p.client.Get("http://" + p.Ports[1] + "/status")
	if err != nil {
		return nil, eris.Wrapf(err, "status of %s", p.Name)
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	s := &zldaemon.Status{}
	return s, eris.Wrapf(json.NewDecoder(resp.Body).Decode(s), "status of %s", p.Name)
}

// Ready implements entry.
func (p *Process) Ready(n int) bool {
	s, err := p.Status()
	return err == nil && s.Ready && len(s.Members) == n
}

// Held implements entry.
func (p *Process) Held() int {
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
func (p *Process) Signal(s syscall.Signal) error {
	return eris.Wrapf(p.command.Process.Signal(s), "signal to %s", p.Name)
}

// PID is the id of the process.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Ended is closed when the process is gone.
func (p *Process) Ended() <-chan struct{} {
	return p.ended
}

// Kill implements entry.
func (p *Process) Kill() {
	// It fails only where the process has ended already.
	_ = p.command.Process.Kill()
	<-p.ended
}

// Stop implements entry.
func (p *Process) Stop() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.ended:
	case <-time.After(stopLimit + stopSlack):
		// Its log ends with what it did.
		_ = p.Signal(syscall.SIGQUIT)
		<-p.ended
		return eris.Errorf("planned stop of %s took over %v", p.Name, stopLimit+stopSlack)
	}
	var exit *exec.ExitError
	if errors.As(p.err, &exit) {
		return eris.Wrapf(p.err, "planned stop of %s", p.Name)
	}
	return p.err
}
