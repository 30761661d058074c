package zlsettings

import (
	"fmt"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlhistory"
)

// Key is the name of one setting.
type Key string

// The settings of the tree.
const (
	// KeyDeadline is the deadline of a query whose caller gives none.
	KeyDeadline Key = "deadline"
	// KeyEnoughCoverage is the coverage with which the answer is returned once
	// KeyEnoughAfter has passed.
	KeyEnoughCoverage Key = "enoughCoverage"
	// KeyEnoughAfter is the time during which only full coverage ends a query early;
	// after it, KeyEnoughCoverage suffices.
	KeyEnoughAfter Key = "enoughAfter"
	// KeyHedgeQuantile is the quantile of the service time after which a hedge is sent.
	KeyHedgeQuantile Key = "hedgeQuantile"
	// KeyHedgeShare is the greatest share of hedges in the recent sub-requests.
	KeyHedgeShare Key = "hedgeShare"
	// KeyRetryShare is the greatest share of retries in the recent sub-requests.
	KeyRetryShare Key = "retryShare"
	// KeyViewAge is the age of a daemon's view of the platform beyond which
	// it sends only to upstreams of its own data centre.
	KeyViewAge Key = "viewAge"
	// KeyPriority orders work under overload; work with a smaller value is rejected
	// first.
	KeyPriority Key = "priority"
)

// Policy holds the settings resolved for one place; each field is that of its key.
type Policy struct {
	Deadline       time.Duration
	EnoughCoverage zlunit.Coverage
	EnoughAfter    time.Duration
	HedgeQuantile  float64
	HedgeShare     float64
	RetryShare     float64
	ViewAge        time.Duration
	Priority       int
}

// spec defines the default and the allowed values of a setting.
type spec struct {
	// defaultValue is the default, in the form of a tree's value.
	defaultValue any
	// low and high are the inclusive bounds; of a duration in seconds.
	low  float64
	high float64
	kind valueKind
}

// valueKind is the kind of a setting's value.
type valueKind int

const (
	// kindNumber is a plain number.
	kindNumber valueKind = iota
	// kindDuration is a duration with a unit.
	kindDuration
)

// specs holds the specification of each setting.
var specs = map[Key]spec{
	KeyDeadline: {
		defaultValue: "1s",
		low:          0.001,
		high:         300,
		kind:         kindDuration,
	},
	KeyEnoughCoverage: {
		defaultValue: 1.0,
		low:          0,
		high:         1,
		kind:         kindNumber,
	},
	KeyEnoughAfter: {
		defaultValue: "300s",
		low:          0,
		high:         300,
		kind:         kindDuration,
	},
	KeyHedgeQuantile: {
		defaultValue: 0.97,
		low:          0.5,
		high:         0.9999,
		kind:         kindNumber,
	},
	KeyHedgeShare: {
		defaultValue: 0.04,
		low:          0,
		high:         0.5,
		kind:         kindNumber,
	},
	KeyRetryShare: {
		defaultValue: 0.1,
		low:          0,
		high:         0.5,
		kind:         kindNumber,
	},
	KeyViewAge: {
		defaultValue: "3s",
		low:          0.1,
		high:         60,
		kind:         kindDuration,
	},
	KeyPriority: {
		defaultValue: 5.0,
		low:          0,
		high:         9,
		kind:         kindNumber,
	},
}

// checkValue returns the fault of a value, or "" if it is allowed.
func checkValue(key Key, value any) string {
	s, ok := specs[key]
	if !ok {
		return fmt.Sprintf("found an unknown key, allowed is one of %v", Keys())
	}
	n, err := s.number(value)
	if err != nil {
		return err.Error()
	}
	if n < s.low || n > s.high {
		return fmt.Sprintf("found %s, allowed is %s", zlhistory.Text(value), s.allowed())
	}
	return ""
}

// allowed describes the allowed values in error messages.
func (s spec) allowed() string {
	if s.kind == kindDuration {
		return fmt.Sprintf("a duration from %v to %v", seconds(s.low), seconds(s.high))
	}
	return fmt.Sprintf("a number from %v to %v", s.low, s.high)
}

// number converts a value to a number; a duration to seconds.
func (s spec) number(value any) (float64, error) {
	if s.kind == kindNumber {
		n, ok := value.(float64)
		if !ok {
			return 0, fmt.Errorf("found %s, allowed is %s", zlhistory.Text(value), s.allowed())
		}
		return n, nil
	}
	text, ok := value.(string)
	if !ok {
		return 0, fmt.Errorf("found %s, allowed is %s", zlhistory.Text(value), s.allowed())
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("found %q, allowed is %s", text, s.allowed())
	}
	return d.Seconds(), nil
}

func seconds(n float64) time.Duration {
	return time.Duration(n * float64(time.Second))
}

// newPolicy converts resolved values to a Policy, with the default for an invalid one.
func newPolicy(values map[Key]Resolved) Policy {
	number := func(key Key) float64 {
		n, err := specs[key].number(values[key].Value)
		if err != nil {
			n, _ = specs[key].number(specs[key].defaultValue)
		}
		return n
	}
	return Policy{
		Deadline:       seconds(number(KeyDeadline)),
		EnoughCoverage: zlunit.Coverage(number(KeyEnoughCoverage)),
		EnoughAfter:    seconds(number(KeyEnoughAfter)),
		HedgeQuantile:  number(KeyHedgeQuantile),
		HedgeShare:     number(KeyHedgeShare),
		RetryShare:     number(KeyRetryShare),
		ViewAge:        seconds(number(KeyViewAge)),
		Priority:       int(number(KeyPriority)),
	}
}
