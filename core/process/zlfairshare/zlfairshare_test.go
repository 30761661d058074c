package zlfairshare

import (
	"testing"
	"time"

	"zinnialock/core/process/zlunit"
)

// A VM that has few requests must not take an organisation whose callers are connected to it
// for a hot one: one with a limit is over its share only while it asks for more than that.
func TestOrganisationWithinItsLimitIsNotOverItsShare(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name      string
		isLimited bool
		// atLimit is how long before the check a request was refused; negative if none was.
		atLimit time.Duration
		want    bool
	}{
		{name: "no limit", atLimit: -1, want: true},
		{name: "within its limit", isLimited: true, atLimit: -1},
		{name: "at its limit", isLimited: true, atLimit: time.Second, want: true},
		{name: "at its limit before", isLimited: true, atLimit: 2 * recentTime},
	} {
		l := &Ledger{}
		hot := l.Account("hot")
		hot.SetLimited(c.isLimited)
		now := start
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			hot.Ask(now, 8)
			hot.Use(now, 8)
			for _, name := range []zlunit.Organisation{"a", "b", "c", "d"} {
				l.Account(name).Ask(now, 1)
				l.Account(name).Use(now, 1)
			}
		}
		if c.atLimit >= 0 {
			hot.MarkAtLimit(now.Add(-c.atLimit))
		}
		now = now.Add(refreshInterval)
		hot.Use(now, 1)
		if got := hot.Level() > 0; got != c.want {
			t.Errorf("%s: over its share %v, want %v", c.name, got, c.want)
		}
	}
}
