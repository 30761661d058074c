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

// maxLogLine bounds a line of a log, in bytes.
const maxLogLine = 1 << 20

// logLine is one decision as a daemon wrote it. The fields are listed in
// docs/OPERATIONS.md.
type logLine struct {
	// TimeMs is the daemon's time of day, in milliseconds.
	TimeMs int64 `json:"time"`
	// VM names the daemon.
	VM string `json:"vm"`
	// Event is the kind of decision.
	Event string `json:"event"`
	// Fields holds all fields, these included.
	Fields map[string]any `json:"fields"`
}

// history is what logs tell of one request.
type history struct {
	Request string `json:"request"`
	// Lines are those about the request, oldest first.
	Lines []logLine `json:"lines"`
	// Before holds what the VMs concerned came to believe shortly before, about
	// the replicas and dependencies that the lines name.
	Before []logLine `json:"before"`
}

// beliefsBeforeMs is how far back beliefs are shown: a few times the bound for
// news.
const beliefsBeforeMs = 10_000

// readLogs reads the lines of files; "-" is standard input. What stands before
// the first brace of a line, such as a time or a name, is skipped, as is a line
// that is no decision.
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
	scanner.Buffer(nil, maxLogLine)
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

// historyOf picks what concerns a request.
func historyOf(lines []logLine, request string) *history {
	h := &history{
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
		if vms[l.VM] && l.TimeMs <= last && l.TimeMs >= last-beliefsBeforeMs && concerns(l, names) {
			h.Before = append(h.Before, *l)
		}
	}
	return h
}

// concerns reports whether a line tells of a belief about one of the names, or
// of the process or what it depends on.
func concerns(l *logLine, names map[string]bool) bool {
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

// historyText shows a history for a person.
func historyText(h *history) string {
	var b strings.Builder
	if len(h.Lines) == 0 {
		fmt.Fprintf(&b, "no line names request %s; plain answers are sampled (see the lines with event leftOut)\n", h.Request)
		return b.String()
	}
	start := h.Lines[0].TimeMs
	fmt.Fprintf(&b, "request %s\n", h.Request)
	for i := range h.Lines {
		writeLogLine(&b, &h.Lines[i], start)
	}
	if len(h.Before) > 0 {
		fmt.Fprintf(&b, "what its VMs came to believe in the %d s before\n", beliefsBeforeMs/1000)
		for i := range h.Before {
			writeLogLine(&b, &h.Before[i], start)
		}
	}
	return b.String()
}

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
