package cmd

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// The bounds of flags.
const (
	maxRate     = 1e6
	maxDuration = 24 * time.Hour
	maxDeadline = 5 * time.Minute
)

func checkAddress(name, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("flag -%s: found %q, allowed is an IP address and a port", name, value)
	}
	return nil
}

// checkTargets splits a list of addresses.
func checkTargets(name, value string) ([]string, error) {
	if value == "" {
		return nil, fmt.Errorf("flag -%s: found nothing, allowed are IP addresses with ports, with commas between", name)
	}
	list := strings.Split(value, ",")
	var faults []error
	for _, address := range list {
		faults = append(faults, checkAddress(name, address))
	}
	return list, errors.Join(faults...)
}

// checkNumber refuses what lies outside low to high, and what is no number.
func checkNumber(name string, value, low, high float64) error {
	if !(value >= low && value <= high) {
		return fmt.Errorf("flag -%s: found %v, allowed is %v to %v", name, value, low, high)
	}
	return nil
}

// checkRate refuses a rate that is not above 0.
func checkRate(name string, value float64) error {
	if !(value > 0 && value <= maxRate) {
		return fmt.Errorf("flag -%s: found %v, allowed is above 0 to %v", name, value, maxRate)
	}
	return nil
}

func checkDuration(name string, value, low, high time.Duration) error {
	if value < low || value > high {
		return fmt.Errorf("flag -%s: found %v, allowed is %v to %v", name, value, low, high)
	}
	return nil
}

func checkText(name, value, allowed string) error {
	if value == "" {
		return fmt.Errorf("flag -%s: found nothing, allowed is %s", name, allowed)
	}
	return nil
}
