package zlconfig

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"zinnialock/core/process/zlunit"
)

// field describes one key of the settings file.
type field struct {
	// key is the table and the key with a dot between, as in "daemon.name".
	key string
	// allowed describes the values that are valid, for faults.
	allowed string
	// defaultText is the value of a key that the file leaves out, empty for none.
	defaultText string
	// required is true for a key that the file must set.
	required bool
	// list is true for a key whose value is an array; set is then called for each element.
	list bool
	// set stores text in cfg and reports whether it is valid.
	set func(cfg *Config, text string) bool
}

const (
	nameAllowed    = "a name of letters, digits and '-', 1 to 63 long"
	addressAllowed = "an IP address and a port, as \"127.0.0.1:7100\""
	pathAllowed    = "the path of a PEM file"
)

// fields lists every key of the settings file.
var fields = []field{
	nameField("daemon.name", func(cfg *Config, s string) { cfg.Name = zlunit.VM(s) }),
	nameField("daemon.dataCentre", func(cfg *Config, s string) { cfg.DataCentre = zlunit.DataCentre(s) }),
	nameField("daemon.deployment", func(cfg *Config, s string) { cfg.Deployment = zlunit.Deployment(s) }),
	addressField("listen.caller", func(cfg *Config, s string) { cfg.CallerListen = s }),
	addressField("listen.admin", func(cfg *Config, s string) { cfg.AdminListen = s }),
	addressField("listen.peer", func(cfg *Config, s string) { cfg.PeerListen = s }),
	addressField("platform.address", func(cfg *Config, s string) { cfg.PlatformAddress = s }),
	durationField("platform.timeout", "2s", 10*time.Millisecond, time.Minute, func(cfg *Config, d time.Duration) { cfg.PlatformTimeout = d }),
	seedsField(),
	pathField("keys.certificate", func(cfg *Config, s string) { cfg.Certificate = s }),
	pathField("keys.key", func(cfg *Config, s string) { cfg.Key = s }),
	pathField("keys.authority", func(cfg *Config, s string) { cfg.Authority = s }),
	levelField(),
	durationField("stop.grace", "3s", 0, time.Minute, func(cfg *Config, d time.Duration) { cfg.StopGrace = d }),
	durationField("stop.limit", "30s", time.Second, 10*time.Minute, func(cfg *Config, d time.Duration) { cfg.StopLimit = d }),
}

// findField returns the field of key, nil for an unknown key.
func findField(key string) *field {
	for i := range fields {
		if fields[i].key == key {
			return &fields[i]
		}
	}
	return nil
}

// tableNames lists the tables of the settings file.
func tableNames() []string {
	var out []string
	for _, f := range fields {
		name, _, _ := strings.Cut(f.key, ".")
		if !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// candidateKeys lists the keys of the table that key belongs to, or all keys if
// there is no such table.
func candidateKeys(key string) []string {
	table, _, _ := strings.Cut(key, ".")
	var same, all []string
	for _, f := range fields {
		all = append(all, f.key)
		if strings.HasPrefix(f.key, table+".") {
			same = append(same, f.key)
		}
	}
	if len(same) > 0 {
		return same
	}
	return all
}

func nameField(key string, store func(*Config, string)) field {
	return field{
		key:      key,
		allowed:  nameAllowed,
		required: true,
		set: func(cfg *Config, text string) bool {
			store(cfg, text)
			return validName(text)
		},
	}
}

func validName(s string) bool {
	if s == "" || len(s) > 63 {
		return false
	}
	for _, r := range s {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !letter && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}

func addressField(key string, store func(*Config, string)) field {
	return field{
		key:      key,
		allowed:  addressAllowed,
		required: true,
		set: func(cfg *Config, text string) bool {
			store(cfg, text)
			return validAddress(text)
		},
	}
}

func validAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

// seedsField returns the field of the peers that a daemon contacts first.
func seedsField() field {
	return field{
		key:     "peers.seeds",
		allowed: "a list of peer addresses, each " + addressAllowed,
		list:    true,
		set: func(cfg *Config, text string) bool {
			cfg.PeerSeeds = append(cfg.PeerSeeds, text)
			return validAddress(text)
		},
	}
}

func pathField(key string, store func(*Config, string)) field {
	return field{
		key:      key,
		allowed:  pathAllowed,
		required: true,
		set: func(cfg *Config, text string) bool {
			store(cfg, text)
			return text != ""
		},
	}
}

func durationField(key, defaultText string, low, high time.Duration, store func(*Config, time.Duration)) field {
	return field{
		key:         key,
		allowed:     fmt.Sprintf("a duration with its unit, from %v to %v", low, high),
		defaultText: defaultText,
		set: func(cfg *Config, text string) bool {
			d, err := time.ParseDuration(text)
			store(cfg, d)
			return err == nil && d >= low && d <= high
		},
	}
}

func levelField() field {
	levels := []string{"debug", "info", "warn", "error"}
	return field{
		key:         "log.level",
		allowed:     "one of " + strings.Join(levels, ", "),
		defaultText: "info",
		set: func(cfg *Config, text string) bool {
			cfg.LogLevel = text
			return slices.Contains(levels, text)
		},
	}
}
