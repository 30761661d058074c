package cmd

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// The upper bounds of flags.
const (
	// maxRate is in queries, reads or writes a second.
	maxRate     = 1e6
	maxDuration = 24 * time.Hour
	maxDeadline = 5 * time.Minute
)

// checkAddress returns an error unless value is an IP address and a port.
func checkAddress(name, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("flag -%s: found %q, allowed is an IP address and a port", name, value)
	}
	return nil
}

// checkTargets splits a list of addresses and checks each.
func checkTargets(name, value string) ([]string, error) {
	if value == "" {
		return nil, fmt.Errorf("flag -%s: found nothing, allowed is a list of IP addresses with ports, separated by commas", name)
	}
	list := strings.Split(value, ",")
	var errs []error
	for _, address := range list {
		errs = append(errs, checkAddress(name, address))
	}
	return list, errors.Join(errs...)
}

// checkNumber returns an error unless value is within low and high; NaN is an error.
func checkNumber(name string, value, low, high float64) error {
	if !(value >= low && value <= high) {
		return fmt.Errorf("flag -%s: found %v, allowed is %v to %v", name, value, low, high)
	}
	return nil
}

// checkRate returns an error unless value is above 0 and at most maxRate.
func checkRate(name string, value float64) error {
	if !(value > 0 && value <= maxRate) {
		return fmt.Errorf("flag -%s: found %v, allowed is above 0 to %v", name, value, maxRate)
	}
	return nil
}

// checkDuration returns an error unless value is within low and high.
func checkDuration(name string, value, low, high time.Duration) error {
	if value < low || value > high {
		return fmt.Errorf("flag -%s: found %v, allowed is %v to %v", name, value, low, high)
	}
	return nil
}

// checkText returns an error if value is empty; allowed describes what to give.
func checkText(name, value, allowed string) error {
	if value == "" {
		return fmt.Errorf("flag -%s: found nothing, allowed is %s", name, allowed)
	}
	return nil
}
