package cmd

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
)

// maxLogLineBytes bounds a line of a log.
const maxLogLineBytes = 1 << 20

// logLine is one decision in the log of a daemon. docs/OPERATIONS.md lists the fields.
type logLine struct {
	// TimeMs is the daemon's wall clock time, in milliseconds.
	TimeMs int64 `json:"time"`
	// VM names the daemon.
	VM string `json:"vm"`
	// Event is the kind of decision.
	Event string `json:"event"`
	// Fields holds all fields of the line, including those above.
	Fields map[string]any `json:"fields"`
}

// requestHistory holds the lines of logs that explain one request.
type requestHistory struct {
	// Request is the request id.
	Request string `json:"request"`
	// Lines are the lines that name the request, oldest first.
	Lines []logLine `json:"lines"`
	// Before holds the beliefs that the request's VMs logged up to beliefWindowMs before its
	// last line, about the replicas and dependencies that Lines name.
	Before []logLine `json:"before"`
}

// beliefWindowMs is how far back beliefs are shown, in milliseconds. It is a few times the
// bound within which an update must be in force.
const beliefWindowMs = 10_000

// readLogs reads the decisions in log files, sorted by time; "-" is standard input. Text
// before the first brace of a line, such as a time or a name, is skipped, and so are lines
// that are no decision.
func readLogs(paths []string) ([]logLine, error) {
	var all []logLine
	for _, path := range paths {
		lines, err := readLog(path)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	sort.SliceStable(all, func(i, j int) bool {
		return all[i].TimeMs < all[j].TimeMs
	})
	return all, nil
}

func readLog(path string) ([]logLine, error) {
	var reader io.Reader = os.Stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer func() {
			_ = file.Close()
		}()
		reader = file
	}
	var lines []logLine
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if l, ok := parseLogLine(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return lines, nil
}

// parseLogLine parses a line and reports whether it is a decision.
func parseLogLine(line []byte) (logLine, bool) {
	var l logLine
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return l, false
	}
	if json.Unmarshal(line[start:], &l) != nil || json.Unmarshal(line[start:], &l.Fields) != nil {
		return l, false
	}
	return l, l.Event != ""
}

// newRequestHistory picks the lines that concern a request.
func newRequestHistory(lines []logLine, request string) *requestHistory {
	h := &requestHistory{
		Request: request,
	}
	vms := map[string]bool{}
	names := map[string]bool{}
	for i := range lines {
		if lines[i].Fields["request"] != request {
			continue
		}
		h.Lines = append(h.Lines, lines[i])
		vms[lines[i].VM] = true
		for _, key := range []string{"from", "to", "upstream", "service"} {
			if name, ok := lines[i].Fields[key].(string); ok && name != "" {
				names[name] = true
			}
		}
	}
	if len(h.Lines) == 0 {
		return h
	}
	last := h.Lines[len(h.Lines)-1].TimeMs
	for i := range lines {
		l := &lines[i]
		if vms[l.VM] && l.TimeMs <= last && l.TimeMs >= last-beliefWindowMs && isRelatedBelief(l, names) {
			h.Before = append(h.Before, *l)
		}
	}
	return h
}

// isRelatedBelief reports whether a line is about a change of the process or its
// dependencies, or a belief about one of the names or the routing table.
func isRelatedBelief(l *logLine, names map[string]bool) bool {
	switch l.Event {
	case "process", "dependency":
		return true
	case "belief":
		name, _ := l.Fields["name"].(string)
		return names[name] || name == "table"
	default:
		return false
	}
}

// historyText returns a history as text.
func historyText(h *requestHistory) string {
	var b strings.Builder
	if len(h.Lines) == 0 {
		fmt.Fprintf(&b, "no line names request %s; ordinary answers are only sampled, lines with event leftOut count those that are not logged\n", h.Request)
		return b.String()
	}
	start := h.Lines[0].TimeMs
	fmt.Fprintf(&b, "request %s\n", h.Request)
	for i := range h.Lines {
		writeLogLine(&b, &h.Lines[i], start)
	}
	if len(h.Before) > 0 {
		fmt.Fprintf(&b, "beliefs of its VMs in the %d s before\n", beliefWindowMs/1000)
		for i := range h.Before {
			writeLogLine(&b, &h.Before[i], start)
		}
	}
	return b.String()
}

// writeLogLine writes a line with its time relative to start, in milliseconds.
func writeLogLine(b *strings.Builder, l *logLine, start int64) {
	fmt.Fprintf(b, "  %+9d ms  %s  %s", l.TimeMs-start, l.VM, l.Event)
	keys := make([]string, 0, len(l.Fields))
	for key := range l.Fields {
		if !slices.Contains([]string{"time", "level", "vm", "event", "request"}, key) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		fmt.Fprintf(b, " %s=%v", key, l.Fields[key])
	}
	b.WriteByte('\n')
}
