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
	// sizeEach is how often memory and descriptors are read.
	sizeEach = 500 * time.Millisecond
	// leastSizes is how many readings of one life are judged, 10 s.
	leastSizes = 20
	// callersGone is left for daemons to notice that their callers ended their
	// connections, before what is still open is counted.
	callersGone = 500 * time.Millisecond
	// controlMost is the memory that the size to design for allows for control,
	// in bytes; the first third of a life is what the load takes besides.
	controlMost = 64 << 20
	// filesMost is how many more descriptors may be open at the end of a life
	// than at its beginning: a connection each way to every upstream and daemon.
	filesMost = 128
)

// size is what a process takes.
type size struct {
	memory int64
	files  int
}

func (s *Soak) watchSizes(ctx context.Context) {
	for sleep(ctx, sizeEach) {
		for _, p := range s.processes {
			if !p.mu.TryLock() {
				continue
			}
			if got, err := sizeOf(p.PID()); err != nil {
				s.broken("%s ended by itself: %v", p.Name, err)
			} else {
				p.sizes = append(p.sizes, got)
			}
			p.mu.Unlock()
		}
	}
}

// sizeOf reads the resident memory and the open files of one of our processes.
func sizeOf(pid int) (size, error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return size{}, eris.Wrap(err, "size")
	}
	var out size
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			if _, err := fmt.Sscan(rest, &out.memory); err != nil {
				return size{}, eris.Wrap(err, "size")
			}
			out.memory <<= 10
		}
	}
	if out.memory == 0 {
		return size{}, eris.New("size: no memory, it is gone")
	}
	files, err := os.ReadDir(filepath.Join(dir, "fd"))
	out.files = len(files)
	return out, eris.Wrap(err, "size")
}

// judgeSizes compares each daemon's latest life, and what it takes once all callers
// are gone, with its first third.
func (s *Soak) judgeSizes() {
	time.Sleep(callersGone)
	for _, p := range s.processes {
		p.mu.Lock()
		if end, err := sizeOf(p.PID()); err != nil {
			s.broken("%s ended by itself: %v", p.Name, err)
		} else if text := grown(p.sizes, end.files); text != "" {
			s.broken("%s: %s", p.Name, text)
		}
		p.mu.Unlock()
	}
}

// grown tells what grew, or nothing. While the load runs callers' connections are
// among the open files, as many as callers wait; filesLeft are those without them.
func grown(sizes []size, filesLeft int) string {
	if len(sizes) < leastSizes {
		return ""
	}
	third := len(sizes) / 3
	first, last := mostOf(sizes[:third]), mostOf(sizes[len(sizes)-third:])
	switch {
	case last.memory > first.memory+controlMost:
		return fmt.Sprintf("memory grew from %d to %d MB", first.memory>>20, last.memory>>20)
	case filesLeft > first.files+filesMost:
		return fmt.Sprintf("open files grew from %d to %d", first.files, filesLeft)
	default:
		return ""
	}
}

func mostOf(sizes []size) size {
	var out size
	for _, x := range sizes {
		out.memory = max(out.memory, x.memory)
		out.files = max(out.files, x.files)
	}
	return out
}
