package cmd

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/io/process/zlquarantineadmin"
)

// quarantineReply is the list of one daemon, or why there is none.
type quarantineReply struct {
	// Admin is the daemon's admin address.
	Admin    string                    `json:"admin"`
	Requests []zlquarantineadmin.Entry `json:"requests"`
	Fault    string                    `json:"fault,omitempty"`
}

func runQuarantine(e *env, args []string) int {
	fs := newFlags(e, "quarantine", "List the requests in quarantine, or lift the quarantine of one at all daemons.")
	targets := fs.String("admin", "127.0.0.1:7101", "admin addresses of daemons, or metrics addresses of relays, `IP:PORT[,IP:PORT]`")
	lift := fs.String("lift", "", "lift the quarantine of the request with this `FINGERPRINT`; any daemon that has it tells the others")
	format := formatFlag(fs)
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if err := checkFormat(*format); err != nil {
		return e.fail(exitUsage, err)
	}
	addresses := strings.Split(*targets, ",")
	for _, address := range addresses {
		if err := checkAddress("admin", address); err != nil {
			return e.fail(exitUsage, err)
		}
	}
	if *lift != "" {
		return liftQuarantine(e, addresses, *lift)
	}
	return listQuarantines(e, addresses, *format)
}

func listQuarantines(e *env, addresses []string, format string) int {
	code := exitOK
	var replies []quarantineReply
	for _, address := range addresses {
		r := quarantineReply{
			Admin:    address,
			Requests: []zlquarantineadmin.Entry{},
		}
		if err := getAdmin(address, zlquarantineadmin.Path, &r.Requests); err != nil {
			r.Fault = err.Error()
			code = exitFailed
		}
		replies = append(replies, r)
	}
	if format == "json" {
		e.json(replies)
		return code
	}
	for _, r := range replies {
		if r.Fault != "" {
			e.printf("%s: %s\n", r.Admin, r.Fault)
			continue
		}
		e.printf("%s: %d in quarantine\n", r.Admin, len(r.Requests))
		for _, x := range r.Requests {
			left := time.Duration(x.LeftMs) * time.Millisecond
			e.printf("  %s  %v left  %d trials  replicas %v\n", x.Fingerprint, left, x.Trials, x.Replicas)
		}
	}
	return code
}

// liftQuarantine lifts a quarantine at the first daemon that has it.
func liftQuarantine(e *env, addresses []string, fingerprint string) int {
	if _, err := zlunit.ParseFingerprint(fingerprint); err != nil {
		return e.fail(exitUsage, fmt.Errorf("lift: %w", err))
	}
	var faults []error
	for _, address := range addresses {
		err := deleteAdmin(address, zlquarantineadmin.Path+"/"+fingerprint)
		if err == nil {
			e.printf("%s: lifted, and the other VMs told\n", address)
			return exitOK
		}
		faults = append(faults, err)
	}
	return e.fail(exitFailed, errors.Join(faults...))
}

// deleteAdmin deletes an object of a daemon's admin listener.
func deleteAdmin(address, path string) error {
	req, err := http.NewRequest(http.MethodDelete, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	client := &http.Client{
		Timeout: adminTimeout,
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminReplyBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%s%s: status %d: %s", address, path, resp.StatusCode, strings.TrimSpace(string(data)))
	}
	return nil
}
