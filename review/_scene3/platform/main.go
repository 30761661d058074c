// Command scene plays one case of the review: it starts the project's relays as
// processes with the command of the deploy file, beside a store, replicas and clients of
// its own, and checks one rule on what clients and replicas saw. It exits with 1 if the
// rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that does not end by itself.
const maxRunTime = 115 * time.Second

// scenes are the cases by name; the file of each adds it. A case returns whether the rule was
// broken.
var scenes = map[string]func(*world) (bool, error){}

func main() {
	os.Exit(run(os.Args))
}

func run(args []string) int {
	if len(args) != 3 || scenes[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scene CASE RECORD")
		return exitNotRun
	}
	w, err := newWorld(args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan int, 1)
	go func() {
		done <- play(w, args[1])
	}()
	select {
	case code := <-done:
		return code
	case <-signals:
		w.note("ended by a signal")
	case <-time.After(maxRunTime):
		w.note("not run: the case took too long")
	}
	return exitNotRun
}

func play(w *world, name string) int {
	w.note("case %s, disruption %t", name, w.trouble)
	broken, err := scenes[name](w)
	switch {
	case err != nil:
		w.note("not run: %v", err)
		return exitNotRun
	case broken:
		w.note("the rule was broken")
		return exitBroken
	default:
		w.note("the rule held")
		return exitHeld
	}
}
