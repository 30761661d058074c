package cmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/version/zlhistory"
	"zinnialock/core/version/zlmark"
	"zinnialock/core/version/zlsettings"
	"zinnialock/io/process/zlplatform"
	"zinnialock/io/version/zlsync"
)

// configCommands lists the subcommands of config.
func configCommands() []command {
	return []command{
		{
			name:    "get",
			summary: "show the resolved settings of a place and the origin of each value",
			run:     runConfigGet,
		},
		{
			name:    "set",
			summary: "set or unset one value",
			run:     runConfigSet,
		},
		{
			name:    "put",
			summary: "write a whole tree from a file",
			run:     runConfigPut,
		},
		{
			name:    "diff",
			summary: "compare the tree with a file; exit code 1 if they differ",
			run:     runConfigDiff,
		},
		{
			name:    "history",
			summary: "show who changed what, when and why",
			run:     runConfigHistory,
		},
		{
			name:    "status",
			summary: "show what is in force at each daemon and since when",
			run:     runConfigStatus,
		},
		{
			name:    "bench",
			summary: "measure the time from an accepted edit to the last daemon in force",
			run:     runConfigBench,
		},
	}
}

// runConfig runs a subcommand of config.
func runConfig(e *env, args []string) int {
	if len(args) == 0 {
		printUsage(e.stderr, "config ", configCommands())
		return exitUsage
	}
	if isHelp(args[0]) {
		printUsage(e.stdout, "config ", configCommands())
		return exitOK
	}
	return dispatch(e, "config ", configCommands(), args)
}

// platformFlags are the flags of every command that calls the platform.
type platformFlags struct {
	address string
	wait    time.Duration
}

func (p *platformFlags) add(fs *flag.FlagSet) {
	fs.StringVar(&p.address, "platform", "127.0.0.1:7000", "address of the platform's object API, `IP:PORT`")
	fs.DurationVar(&p.wait, "wait", 10*time.Second, "how long to retry before the command fails")
}

// editor returns an editor and a context that expires after p.wait.
func (p *platformFlags) editor() (*zlsync.Editor, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), p.wait)
	return &zlsync.Editor{
		Platform: &zlplatform.Client{
			Address: p.address,
			HTTP:    http.DefaultClient,
			Timeout: 2 * time.Second,
		},
		Timer: &zltimer.Service{},
	}, ctx, cancel
}

// editFlags are the flags of every command that changes a record.
type editFlags struct {
	platformFlags
	by     string
	reason string
}

func (p *editFlags) add(fs *flag.FlagSet) {
	p.platformFlags.add(fs)
	fs.StringVar(&p.by, "by", os.Getenv("USER"), "name of the person who makes the change")
	fs.StringVar(&p.reason, "reason", "", "reason of the change, stored in the history")
}

// check returns an error for the first flag that is invalid.
func (p *editFlags) check() error {
	if err := checkAddress("platform", p.address); err != nil {
		return err
	}
	if p.by == "" {
		return errors.New("flag -by: found nothing, allowed is the name of the person who makes the change")
	}
	if p.reason == "" {
		return errors.New("flag -reason: found nothing, allowed is a text with the reason of the change")
	}
	return nil
}

// edit makes the change that prepare puts into its edit, prints the result and returns the
// exit code.
func (p *editFlags) edit(e *env, target *zlsync.Target, format string, prepare func(ctx context.Context, ed *zlsync.Editor, edit *zlsync.Edit)) int {
	ed, ctx, cancel := p.editor()
	defer cancel()
	edit := &zlsync.Edit{
		By:     p.by,
		Reason: p.reason,
	}
	prepare(ctx, ed, edit)
	accepted, err := ed.Edit(ctx, target, edit)
	if err != nil {
		return e.fail(editExitCode(err), errors.New(operatorMessage(err)))
	}
	if format == "json" {
		e.json(accepted)
		return exitOK
	}
	if accepted.Unchanged {
		e.printf("nothing to change, serial %d\n", accepted.Serial)
		return exitOK
	}
	e.printf("accepted and read back, serial %d\n", accepted.Serial)
	showChanges(e, accepted.Changes)
	return exitOK
}

// editExitCode returns exitUsage for a change that is invalid in itself, or else exitFailed.
// A mark that is rejected by the state of the fleet is no usage error.
func editExitCode(err error) int {
	var syncErr *zlsync.Error
	if errors.As(err, &syncErr) && syncErr.Kind == zlsync.KindInvalid {
		var markErr *zlmark.Error
		if !errors.As(err, &markErr) {
			return exitUsage
		}
	}
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}

// usageError is an error in what the operator typed.
type usageError struct {
	text string
}

// Error implements error.
func (u *usageError) Error() string {
	return u.text
}

// operatorMessage returns the message for operators. If err wraps an error of the history,
// the settings tree or the marks, the outer operations are left out.
func operatorMessage(err error) string {
	var history *zlhistory.Error
	if errors.As(err, &history) {
		return history.Error()
	}
	var tree *zlsettings.Error
	if errors.As(err, &tree) {
		return tree.Error()
	}
	var mark *zlmark.Error
	if errors.As(err, &mark) {
		return fmt.Sprintf("refused, nothing was written: %v; add -force to write it anyway", mark.Err)
	}
	return err.Error()
}

// showChanges prints one line for each change.
func showChanges(e *env, changes []zlhistory.Change) {
	for _, c := range changes {
		e.printf("  %s %s: %s -> %s\n", c.Path, c.Key, zlhistory.Text(c.Old), zlhistory.Text(c.New))
	}
}
