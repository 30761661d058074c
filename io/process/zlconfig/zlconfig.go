// Package zlconfig reads a daemon's own settings file, in TOML.
package zlconfig

import (
	"fmt"
	"os"
	"strings"
	"time"

	"zinnialock/core/process/zlunit"

	"github.com/rotisserie/eris"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	KindRead    Kind = "read"
	KindInvalid Kind = "invalid"
)

// Error reports a file that cannot be used. Faults lists all that is wrong.
type Error struct {
	Op     string
	Kind   Kind
	Err    error
	Faults []Fault
}

// Error implements error.
func (e *Error) Error() string {
	if len(e.Faults) == 0 {
		return fmt.Sprintf("zlconfig: %s: %s: %v", e.Op, e.Kind, e.Err)
	}
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Fault is one thing wrong with a settings file.
type Fault struct {
	File    string
	Row     int
	Column  int
	Key     string
	Found   string
	Allowed string
}

// String gives the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: key %q: found %s, allowed is %s", f.File, f.Row, f.Column, f.Key, f.Found, f.Allowed)
}

// Config is a daemon's own settings.
type Config struct {
	Name       zlunit.VM
	DataCentre zlunit.DataCentre
	Deployment zlunit.Deployment

	CallerListen string
	AdminListen  string
	PeerListen   string

	PlatformAddress string
	PlatformTimeout time.Duration

	PeerSeeds []string

	Certificate string
	Key         string
	Authority   string

	LogLevel string

	StopGrace time.Duration
	StopLimit time.Duration
}

// Entry is one setting in force and where its value came from.
type Entry struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Origin string `json:"origin"`
}

// Load reads the file at path; the error is an *Error.
func Load(path string) (*Config, []Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, &Error{
			Op:   "load",
			Kind: KindRead,
			Err:  eris.Wrap(err, "settings"),
		}
	}
	return Parse(path, data)
}

// Parse reads settings from data; file is only named in faults.
func Parse(file string, data []byte) (*Config, []Entry, error) {
	cfg := &Config{}
	p := &parser{
		file: file,
		cfg:  cfg,
		seen: map[string]bool{},
	}
	p.read(data)
	entries := p.complete()
	if len(p.faults) > 0 {
		return nil, nil, &Error{
			Op:     "parse",
			Kind:   KindInvalid,
			Err:    eris.Errorf("%d faults", len(p.faults)),
			Faults: p.faults,
		}
	}
	return cfg, entries, nil
}
