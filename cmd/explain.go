package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"zinnialock/core/request/zltrace"
	"zinnialock/io/process/zldaemon"
)

const (
	// explainWait bounds the question to the daemon.
	explainWait = 5 * time.Second
	// maxExplain bounds the reply, in bytes.
	maxExplain = 64 << 20
)

func runExplain(e *env, args []string) int {
	fs := newFlags(e, "explain REQUEST-ID", "Tell what a daemon decided for a recent request, and why.")
	admin := fs.String("admin", "127.0.0.1:7101", "admin address of the daemon, `IP:PORT`")
	format := formatFlag(fs)
	id, args := leadingArgument(args)
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	var missing error
	if id == "" {
		missing = errors.New("zinnialock explain: found no request id, it comes first: zinnialock explain REQUEST-ID -admin IP:PORT")
	}
	if err := errors.Join(missing, checkFormat(*format), checkAddress("admin", *admin)); err != nil {
		return e.fail(exitUsage, err)
	}
	traces, err := fetchTraces(*admin, id)
	if err != nil {
		return e.fail(exitFailed, fmt.Errorf("explain: %w", err))
	}
	if *format == "json" {
		e.json(traces)
		return exitDone
	}
	for i, t := range traces {
		if i > 0 {
			e.printf("\n")
		}
		e.printf("%s", explainText(t))
	}
	return exitDone
}

// leadingArgument takes an argument that stands before the flags.
func leadingArgument(args []string) (first string, rest []string) {
	if len(args) == 0 || strings.HasPrefix(args[0], "-") {
		return "", args
	}
	return args[0], args[1:]
}

func fetchTraces(admin, id string) ([]*zltrace.Trace, error) {
	ctx, cancel := context.WithTimeout(context.Background(), explainWait)
	defer cancel()
	address := "http://" + admin + zldaemon.ExplainPath + "?request=" + url.QueryEscape(id)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() {
		_ = resp.Body.Close()
	}()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxExplain))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("daemon at %s: %s", admin, strings.TrimSpace(string(data)))
	}
	var traces []*zltrace.Trace
	if err := json.Unmarshal(data, &traces); err != nil {
		return nil, err
	}
	return traces, nil
}
