package zlsoak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// usageInterval is the time between two readings of a process's usage.
	usageInterval = 500 * time.Millisecond
	// minUsages is how many readings of one incarnation are needed to judge its
	// growth: 10 s.
	minUsages = 20
	// callerDisconnectWait lets daemons notice that their callers closed their
	// connections, before the remaining open files are counted.
	callerDisconnectWait = 500 * time.Millisecond
	// maxMemoryGrowth, in bytes, is the memory that a daemon may use for
	// control work at the size that the product is designed for. The memory
	// that the load needs is in the baseline, the first third of an
	// incarnation.
	maxMemoryGrowth = 64 << 20
	// maxFileGrowth is how many more descriptors may be open at the end of an
	// incarnation than in its first third: a connection in each direction to
	// every upstream and daemon.
	maxFileGrowth = 128
)

// usage holds the resources that a process uses.
type usage struct {
	// memory is the resident set size in bytes.
	memory int64
	// files is the number of open file descriptors.
	files int
}

// sampleUsage reads the usage of all daemons that no step has claimed, until ctx
// is done.
func (s *Soak) sampleUsage(ctx context.Context) {
	for sleep(ctx, usageInterval) {
		for _, p := range s.processes {
			if !p.mu.TryLock() {
				continue
			}
			if got, err := readUsage(p.PID()); err != nil {
				s.violationf("%s ended unexpectedly: %v", p.Name, err)
			} else {
				p.usages = append(p.usages, got)
			}
			p.mu.Unlock()
		}
	}
}

// readUsage reads the resident memory and the number of open files of a
// process. It fails if the process has ended.
func readUsage(pid int) (usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return usage{}, eris.Wrap(err, "read process usage")
	}
	var out usage
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			if _, err := fmt.Sscan(rest, &out.memory); err != nil {
				return usage{}, eris.Wrap(err, "read process usage")
			}
			out.memory <<= 10
		}
	}
	if out.memory == 0 {
		return usage{}, eris.New("read process usage: no resident memory, the process has ended")
	}
	files, err := os.ReadDir(filepath.Join(dir, "fd"))
	out.files = len(files)
	return out, eris.Wrap(err, "read process usage")
}

// checkGrowth compares the end of each daemon's current incarnation with its
// first third. Open files are counted after all callers have disconnected.
func (s *Soak) checkGrowth() {
	time.Sleep(callerDisconnectWait)
	for _, p := range s.processes {
		p.mu.Lock()
		if end, err := readUsage(p.PID()); err != nil {
			s.violationf("%s ended unexpectedly: %v", p.Name, err)
		} else if text := describeGrowth(p.usages, end.files); text != "" {
			s.violationf("%s: %s", p.Name, text)
		}
		p.mu.Unlock()
	}
}

// describeGrowth returns what grew beyond its limit, or an empty string. Under
// load, the open files include the callers' connections; filesLeft is the
// number without them.
func describeGrowth(sizes []usage, filesLeft int) string {
	if len(sizes) < minUsages {
		return ""
	}
	third := len(sizes) / 3
	first, last := maxUsage(sizes[:third]), maxUsage(sizes[len(sizes)-third:])
	switch {
	case last.memory > first.memory+maxMemoryGrowth:
		return fmt.Sprintf("memory grew from %d to %d MB", first.memory>>20, last.memory>>20)
	case filesLeft > first.files+maxFileGrowth:
		return fmt.Sprintf("open files grew from %d to %d", first.files, filesLeft)
	default:
		return ""
	}
}

// maxUsage returns the largest memory and the largest number of files.
func maxUsage(sizes []usage) usage {
	var out usage
	for _, x := range sizes {
		out.memory = max(out.memory, x.memory)
		out.files = max(out.files, x.files)
	}
	return out
}
