package zltree

import (
	"fmt"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlhistory"
)

// Key names one setting of the tree.
type Key string

// The settings of the tree.
const (
	// KeyDeadline is the time allowed when the caller names none.
	KeyDeadline Key = "deadline"
	// KeyEnoughCoverage is the coverage that ends the wait after enoughAfter.
	KeyEnoughCoverage Key = "enoughCoverage"
	// KeyEnoughAfter is how long only full coverage ends the wait.
	KeyEnoughAfter Key = "enoughAfter"
	// KeyHedgeQuantile is the quantile of service time after which to hedge.
	KeyHedgeQuantile Key = "hedgeQuantile"
	// KeyHedgeShare bounds hedges as a share of recent sub-requests.
	KeyHedgeShare Key = "hedgeShare"
	// KeyRetryShare bounds retries as a share of recent sub-requests.
	KeyRetryShare Key = "retryShare"
	// KeyViewAge is the age of a daemon's view of the platform beyond which
	// it sends only to upstreams of its own data centre.
	KeyViewAge Key = "viewAge"
	// KeyPriority ranks work under overload; larger is kept longer.
	KeyPriority Key = "priority"
)

// Policy is the tree resolved for one place.
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

type spec struct {
	fallback any
	// low and high bound a number, or seconds for a duration.
	low  float64
	high float64
	unit unit
}

type unit int

const (
	unitNumber unit = iota
	unitDuration
)

var specs = map[Key]spec{
	KeyDeadline: {
		fallback: "1s",
		low:      0.001,
		high:     300,
		unit:     unitDuration,
	},
	KeyEnoughCoverage: {
		fallback: 1.0,
		low:      0,
		high:     1,
		unit:     unitNumber,
	},
	KeyEnoughAfter: {
		fallback: "300s",
		low:      0,
		high:     300,
		unit:     unitDuration,
	},
	KeyHedgeQuantile: {
		fallback: 0.97,
		low:      0.5,
		high:     0.9999,
		unit:     unitNumber,
	},
	KeyHedgeShare: {
		fallback: 0.04,
		low:      0,
		high:     0.5,
		unit:     unitNumber,
	},
	KeyRetryShare: {
		fallback: 0.1,
		low:      0,
		high:     0.5,
		unit:     unitNumber,
	},
	KeyViewAge: {
		fallback: "3s",
		low:      0.1,
		high:     60,
		unit:     unitDuration,
	},
	KeyPriority: {
		fallback: 5.0,
		low:      0,
		high:     9,
		unit:     unitNumber,
	},
}

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

func (s spec) allowed() string {
	if s.unit == unitDuration {
		return fmt.Sprintf("a duration from %v to %v", seconds(s.low), seconds(s.high))
	}
	return fmt.Sprintf("a number from %v to %v", s.low, s.high)
}

// number reads value; a duration is given in seconds.
func (s spec) number(value any) (float64, error) {
	if s.unit == unitNumber {
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

func policyOf(values map[Key]Resolved) Policy {
	number := func(key Key) float64 {
		n, err := specs[key].number(values[key].Value)
		if err != nil {
			n, _ = specs[key].number(specs[key].fallback)
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
