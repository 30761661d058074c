package zldaemon

import (
	"context"
	"time"

	"zinnialock/core/request/zlclaim"
	"zinnialock/io/request/zlclaimstore"
)

// claims has the parts that ensure that a non-idempotent request runs at most once.
type claims struct {
	writers *zlclaim.Writers
	router  *zlclaimstore.Router
	guard   *zlclaim.Guard
}

// buildClaims creates the parts of claims.
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
		Next:          d.coordinator,
		Claimer:       d.claims.router,
		AnswerFetcher: d.claims.router,
		Timer:         d.timer,
		Counter:       d.metrics,
		AnswerCache:   answers,
		Traces:        d.journal,
	}
}

// run starts the parts.
func (c *claims) run() {
	c.writers.Run()
	c.guard.Run()
}

// outcomeTimeout bounds how long a planned stop waits for outcomes to be recorded,
// since the platform may be unavailable.
const outcomeTimeout = 2 * time.Second

// finish waits until the outcomes of ended requests are in the claim log, at the
// latest until ctx ends or finishWait has passed.
func (c *claims) finish(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	c.guard.Close(ctx)
}

// close ends the parts without waiting for outcomes to be recorded.
func (c *claims) close() {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	c.guard.Close(cancelled)
	c.writers.Close()
}
