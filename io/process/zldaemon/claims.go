package zldaemon

import (
	"context"
	"time"

	"zinnialock/core/request/zlclaim"
	"zinnialock/io/request/zlclaimstore"
)

// claims are the parts that let a non-idempotent request run at most once.
type claims struct {
	writers *zlclaim.Writers
	router  *zlclaimstore.Router
	guard   *zlclaim.Guard
}

func (d *Daemon) buildClaims() {
	answers := &zlclaim.AnswerCache{}
	d.claims.writers = &zlclaim.Writers{
		Store: &zlclaimstore.Store{
			Client: d.platform,
		},
		Timer: d.timer,
	}
	d.claims.router = &zlclaimstore.Router{
		Self:    d.Config.Name,
		Views:   d.views,
		Timer:   d.timer,
		Local:   d.claims.writers,
		Peers:   d.node,
		Answers: answers,
	}
	d.claims.guard = &zlclaim.Guard{
		Self:          d.Config.Name,
		Next:          d.coord,
		Claimer:       d.claims.router,
		AnswerFetcher: d.claims.router,
		Timer:         d.timer,
		Counter:       d.metrics,
		AnswerCache:   answers,
		Traces:        d.journal,
	}
}

func (c *claims) run() {
	c.writers.Run()
	c.guard.Run()
}

// finishWait bounds how long a planned stop waits for outcomes to be recorded,
// since the platform may be down.
const finishWait = 2 * time.Second

// finish waits until the outcomes of ended requests are in the log, at the
// latest until ctx ends or finishWait has passed.
func (c *claims) finish(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finishWait)
	defer cancel()
	c.guard.Close(ctx)
}

// close ends the parts at once.
func (c *claims) close() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	c.guard.Close(ended)
	c.writers.Close()
}
