package cmd

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/request/zlclaim"
	"zinnialock/io/process/zlload"
	"zinnialock/io/request/zlfront"
)

func runQuery(e *env, args []string) int {
	fs := newFlags(e, "query", "Send one query to a daemon and show its answer.")
	target := fs.String("target", "127.0.0.1:7100", "caller address of a daemon, `IP:PORT`")
	service := fs.String("service", "", "`NAME` of the service")
	kind := fs.String("kind", "", "query kind")
	text := fs.String("text", "", "text to search for")
	id := fs.String("id", "", "request id; generated if empty")
	once := fs.Bool("once", false, "the request is not idempotent")
	retry := fs.Bool("retry", false, "this id may have been sent before; needs -id")
	least := fs.Float64("least", 0, "minimum coverage of the answer, 0 to 1")
	deadline := fs.Duration("deadline", 2*time.Second, "time allowed for the query")
	verbose := fs.Bool("v", false, "show the part of every shard")
	format := formatFlag(fs)
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	err := errors.Join(
		checkFormat(*format),
		checkAddress("target", *target),
		checkText("service", *service, "the name of a service"),
		checkNumber("least", *least, 0, 1),
		checkDuration("deadline", *deadline, time.Millisecond, maxDeadline),
		checkRetryID(*id, *retry),
	)
	if err != nil {
		return e.fail(exitUsage, err)
	}
	if *id == "" && *once {
		*id = string(zlclaim.NewID(time.Now()))
	}
	idempotent := !*once
	req := &zlfront.Request{
		RequestID:     zlunit.RequestID(*id),
		Service:       zlunit.Service(*service),
		Kind:          zlunit.QueryKind(*kind),
		Text:          *text,
		DeadlineMs:    deadline.Milliseconds(),
		Idempotent:    &idempotent,
		LeastCoverage: zlunit.Coverage(*least),
		Retry:         *retry,
	}
	ctx, cancel := context.WithTimeout(context.Background(), *deadline+time.Second)
	defer cancel()
	answer, err := zlload.Post(ctx, http.DefaultClient, *target, req)
	if err != nil {
		return e.fail(exitFailed, fmt.Errorf("query: %w", err))
	}
	if *format == "json" {
		e.json(answer)
	} else {
		showAnswer(e, answer, *verbose)
	}
	if answer.Refusal != nil {
		return exitFailed
	}
	return exitOK
}

// checkRetryID returns an error for a retry without an id, which the daemon would reject.
func checkRetryID(id string, retry bool) error {
	if id == "" && retry {
		return errors.New("flag -id: found nothing, allowed with -retry is the id of the first attempt")
	}
	return nil
}

// showAnswer prints an answer or a refusal as text.
func showAnswer(e *env, a *zlfront.Answer, verbose bool) {
	if a.Refusal != nil {
		e.printf("request  %s\nrefused  %s %s\nran      %s\n", a.RequestID, a.Refusal.Reason, a.Refusal.Detail, a.Refusal.Ran)
		if a.Refusal.RetryAfterMs > 0 {
			e.printf("retry    in %d ms\n", a.Refusal.RetryAfterMs)
		}
		return
	}
	e.printf("request  %s\nversion  %d\ncoverage %.4f, complete %v\ntime     %.1f ms\n", a.RequestID, a.Version, a.Coverage, a.Complete, a.ElapsedMs)
	e.printf("sent     %d sub-requests, %d hedges, %d retries\n", a.SubRequests, a.Hedges, a.Retries)
	for _, m := range a.Missing {
		e.printf("missing  shard %d: %s\n", m.Shard, m.Reason)
	}
	if !verbose {
		return
	}
	for _, p := range a.Parts {
		e.printf("shard %-4d %-24s coverage %.2f, %d rows\n", p.Shard, p.Upstream, p.Coverage, len(p.Rows))
	}
}
