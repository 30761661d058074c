// Package zltablecheck checks a routing table before operators send it: entries that cannot
// work, that contradict each other, and what differs from the table in force. It neither
// reads tables nor decides which table is in force.
package zltablecheck

import (
	"fmt"

	"zinnialock/core/version/zltable"
)

// Level is whether a finding fails the check.
type Level string

// The levels of a Finding. Only errors fail the check.
const (
	LevelError   Level = "error"
	LevelWarning Level = "warning"
)

// Kind classifies a Finding.
type Kind string

// The kinds of Finding.
const (
	// KindFormat: the table or an entry cannot be decoded.
	KindFormat Kind = "format"
	// KindVersion: the version is missing or not greater than the one in force.
	KindVersion Kind = "version"
	// KindService: a route has no service, or one that is not defined.
	KindService Kind = "service"
	// KindRange: a figure is out of its range.
	KindRange Kind = "range"
	// KindMatch: a route can never match, or matches more than its prefix suggests.
	KindMatch Kind = "match"
	// KindLimit: limits are missing or contradict each other.
	KindLimit Kind = "limit"
	// KindKeys: an organisation has no key that can be used, or shares one.
	KindKeys Kind = "keys"
	// KindRepeated: a name is used twice.
	KindRepeated Kind = "repeated"
)

// Finding is one error or warning.
type Finding struct {
	Level Level  `json:"level"`
	Kind  Kind   `json:"kind"`
	Place string `json:"place"`
	Text  string `json:"text"`
}

// Report is the result of a check. It holds no keys.
type Report struct {
	Version zltable.Version `json:"version"`
	// InForce is the version that the table was compared with; 0 if there was none.
	InForce  zltable.Version `json:"inForce,omitempty"`
	Findings []Finding       `json:"findings"`
	Changes  []Change        `json:"changes"`
}

// Errors returns how many findings fail the check.
func (r *Report) Errors() int {
	n := 0
	for _, f := range r.Findings {
		if f.Level == LevelError {
			n++
		}
	}
	return n
}

// Errorf adds an error.
func (r *Report) Errorf(kind Kind, place, format string, args ...any) {
	r.add(LevelError, kind, place, fmt.Sprintf(format, args...))
}

// Warnf adds a warning.
func (r *Report) Warnf(kind Kind, place, format string, args ...any) {
	r.add(LevelWarning, kind, place, fmt.Sprintf(format, args...))
}

func (r *Report) add(level Level, kind Kind, place, text string) {
	r.Findings = append(r.Findings, Finding{
		Level: level,
		Kind:  kind,
		Place: place,
		Text:  text,
	})
}

// checkFigure reports a figure that is negative.
func (r *Report) checkFigure(place, label string, value float64) {
	if value < 0 {
		r.Errorf(KindRange, place, "%s is negative", label)
	}
}
