package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"zinnialock/io/process/zldaemon"
)

const (
	// adminTimeout bounds a request to a daemon's admin listener.
	adminTimeout = 3 * time.Second
	// maxAdminReplyBytes bounds the body of its reply.
	maxAdminReplyBytes = 64 << 20
)

// getAdmin reads JSON from a daemon's admin listener.
func getAdmin(address, path string, out any) error {
	client := &http.Client{
		Timeout: adminTimeout,
	}
	resp, err := client.Get("http://" + address + path)
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
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s: status %d: %s", address, path, resp.StatusCode, data)
	}
	return json.Unmarshal(data, out)
}

// statusReply is the status of one daemon, or why there is none.
type statusReply struct {
	// Admin is the daemon's admin address.
	Admin  string           `json:"admin"`
	Status *zldaemon.Status `json:"status,omitempty"`
	Fault  string           `json:"fault,omitempty"`
}

func runStatus(e *env, args []string) int {
	fs := newFlags(e, "status", "Show each daemon's view of the fleet, the age of the view, and the upstreams that it holds.")
	targets := fs.String("admin", "127.0.0.1:7101", "admin addresses of daemons, `IP:PORT[,IP:PORT]`")
	all := fs.Bool("upstreams", false, "show each upstream; text format only")
	format := formatFlag(fs)
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if err := checkFormat(*format); err != nil {
		return e.fail(exitUsage, err)
	}
	var replies []statusReply
	code := exitOK
	for _, address := range strings.Split(*targets, ",") {
		if err := checkAddress("admin", address); err != nil {
			return e.fail(exitUsage, err)
		}
		r := statusReply{
			Admin:  address,
			Status: &zldaemon.Status{},
		}
		if err := getAdmin(address, "/status", r.Status); err != nil {
			r.Status = nil
			r.Fault = err.Error()
			code = exitFailed
		}
		replies = append(replies, r)
	}
	if *format == "json" {
		e.json(replies)
		return code
	}
	for _, r := range replies {
		showStatus(e, &r, *all)
	}
	return code
}

// showStatus prints the status of a daemon; all is true to list each upstream.
func showStatus(e *env, r *statusReply, all bool) {
	if r.Status == nil {
		e.printf("%s: no answer: %s\n", r.Admin, r.Fault)
		return
	}
	s := r.Status
	f := &s.Fleet
	viewText := "none"
	if s.ViewAgeMs >= 0 {
		viewText = fmt.Sprintf("%d ms old", s.ViewAgeMs)
	}
	e.printf("%s in %s: %s, %s; view %s; epoch %d of %d; lease %d ms left; guarantors %v; %d running\n",
		f.VM, f.DataCentre, f.State, s.Why, viewText, f.Epoch, f.LatestEpoch, f.LeaseLeftMs, f.Guarantors, s.InFlight)
	for _, m := range s.Members {
		note := ""
		if m.MarkedOut {
			note = ", marked out"
		}
		e.printf("  member %-16s %-14s epoch %-6d %s%s\n", m.VM, m.DataCentre, m.Epoch, m.State, note)
	}
	showUpstreams(e, s, all)
}

// showUpstreams prints the upstreams that a daemon holds: those it may not use fully, or all.
func showUpstreams(e *env, s *zldaemon.Status, all bool) {
	usable := 0
	for _, h := range s.Fleet.Held {
		if h.Usable {
			usable++
		}
		if all || !h.Usable || len(h.EarlierHolders) > 0 {
			e.printf("  holds %-24s %s, usable %v, slots %d, cold %d, connections %d, earlier holders %v\n",
				h.Upstream, h.Reason, h.Usable, h.Slots, h.Cold, h.Connections, h.EarlierHolders)
		}
	}
	e.printf("  holds %d upstreams, may use %d\n", len(s.Fleet.Held), usable)
	for _, u := range s.Upstreams {
		if all {
			e.printf("  upstream %-24s %-8s since %s: %s; limit %d of %d, %d in flight, %d queued, %d connections\n",
				u.Upstream, u.State, u.Since.Format(time.TimeOnly), u.Cause, u.Limit, u.Slots, u.InFlight, u.Queued, u.Connections)
		}
	}
}
