package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// world is what a case consists of: the store, the replicas, the relays and the record.
type world struct {
	// trouble is false if the case is played without its disruption.
	trouble bool
	start   time.Time
	dir     string
	store   *store

	mu       sync.Mutex
	record   *os.File
	out      *bufio.Writer
	replicas []*replica
	relays   []*relay
	closers  []func()
	// nextPort and endPort are what is left of the block of ports.
	nextPort, endPort int
}

func newWorld(record string, trouble bool) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "scene")
	if err != nil {
		return nil, err
	}
	w := &world{
		trouble: trouble,
		start:   time.Now(),
		dir:     dir,
		record:  f,
		out:     bufio.NewWriter(f),
	}
	if err := w.takeBlock(); err != nil {
		return nil, err
	}
	if w.store, err = newStore(); err != nil {
		return nil, err
	}
	return w, nil
}

// note writes a line to the record, with the time since the start.
func (w *world) note(format string, args ...any) {
	w.noteAt(time.Now(), format, args...)
}

func (w *world) noteAt(at time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f  %s\n", at.Sub(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends everything that the case started.
func (w *world) close() {
	for _, r := range w.relays {
		r.kill()
	}
	for _, c := range w.closers {
		c()
	}
	for _, r := range w.replicas {
		r.crash()
	}
	w.store.close()
	_ = os.RemoveAll(w.dir)
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.out.Flush()
	_ = w.record.Close()
}

// path returns the path of a temporary file.
func (w *world) path(name string) string {
	return filepath.Join(w.dir, name)
}

// zones are the data centres of the small deployment.
var zones = []string{"nashua", "lowell", "worcester"}
