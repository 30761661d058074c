// Package zlconfig reads the settings file of one daemon, in TOML: its name, addresses,
// keys and limits for stopping. It returns the settings with the origin of each value,
// or all faults of the file with their positions. The settings tree that operators
// share through the platform is in zlsettings.
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
	// KindRead means that the file could not be read.
	KindRead Kind = "read"
	// KindInvalid means that the file has faults.
	KindInvalid Kind = "invalid"
)

// Error reports a settings file that cannot be used.
type Error struct {
	// Op is the operation: "load" or "parse".
	Op string
	// Kind classifies the error.
	Kind Kind
	// Err is the cause.
	Err error
	// Faults lists all faults of the file; it is empty with KindRead.
	Faults []Fault
}

// Error implements error. With faults it returns one line for each.
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

// Fault is one mistake in a settings file.
type Fault struct {
	// File is the name of the settings file.
	File string
	// Row and Column give the position, counted from 1; a missing key has 1 and 1.
	Row    int
	Column int
	// Key is the table and the key with a dot between; empty for a syntax error.
	Key string
	// Found describes what the file has, and Allowed what it may have.
	Found   string
	Allowed string
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: key %q: found %s, allowed is %s", f.File, f.Row, f.Column, f.Key, f.Found, f.Allowed)
}

// Config holds the settings of one daemon. Addresses are an IP address and a port.
type Config struct {
	// Name is the daemon's VM; DataCentre and Deployment say where it belongs.
	Name       zlunit.VM
	DataCentre zlunit.DataCentre
	Deployment zlunit.Deployment

	// CallerListen, AdminListen and PeerListen are the addresses to listen on for
	// callers, operators and other daemons.
	CallerListen string
	AdminListen  string
	PeerListen   string

	// PlatformAddress is the address of the platform's object API.
	PlatformAddress string
	// PlatformTimeout bounds each call to the platform.
	PlatformTimeout time.Duration

	// PeerSeeds lists the peer addresses of daemons that are contacted at the start.
	PeerSeeds []string

	// Certificate, Key and Authority are the paths of PEM files for mutual TLS between
	// daemons.
	Certificate string
	Key         string
	Authority   string

	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string

	// StopGrace is how long a stopping daemon still serves callers after it announced that
	// it leaves.
	StopGrace time.Duration
	// StopLimit bounds a planned stop; queries that still run then are cut.
	StopLimit time.Duration
}

// Entry is one setting in force and the origin of its value.
type Entry struct {
	// Key is the table and the key with a dot between.
	Key string `json:"key"`
	// Value is the value as text; a list has ", " between its elements.
	Value string `json:"value"`
	// Origin is the file and row, or "default".
	Origin string `json:"origin"`
}

// Load reads and parses the settings file at path. The error is an *Error.
func Load(path string) (*Config, []Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, &Error{
			Op:   "load",
			Kind: KindRead,
			Err:  eris.Wrap(err, "read the settings file"),
		}
	}
	return Parse(path, data)
}

// Parse parses the settings in data. The name file appears in faults and origins; the file
// itself is not read. The error is an *Error.
func Parse(file string, data []byte) (*Config, []Entry, error) {
	cfg := &Config{}
	p := &parser{
		file: file,
		cfg:  cfg,
		seen: map[string]bool{},
	}
	p.parse(data)
	entries := p.applyDefaults()
	if len(p.faults) > 0 {
		return nil, nil, &Error{
			Op:     "parse",
			Kind:   KindInvalid,
			Err:    eris.Errorf("settings file has %d faults", len(p.faults)),
			Faults: p.faults,
		}
	}
	return cfg, entries, nil
}
