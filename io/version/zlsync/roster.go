package zlsync

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"zinnialock/core/process/zltimer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
	"zinnialock/io/process/zlplatform"

	"github.com/rotisserie/eris"
)

const (
	// maxEditAttempts bounds the attempts of a conditional write that conflicts
	// with those of others.
	maxEditAttempts = 40
	// conflictBackoffPerMember is what each member of the roster adds to the bound
	// of the first pause after a conflict, since all members may be writing.
	conflictBackoffPerMember = 10 * time.Millisecond
	// maxBackoffDoublings is how often that bound doubles.
	maxBackoffDoublings = 3
)

// RosterStore reads and writes the roster of one data centre at the platform.
// The exported fields must be set before use.
type RosterStore struct {
	DataCentre zlunit.DataCentre
	Platform   *zlplatform.Client
	Timer      *zltimer.Service
}

// Roster reads the roster; a roster that does not exist is empty and has epoch 0.
func (s *RosterStore) Roster(ctx context.Context) (zlroster.Roster, error) {
	roster := zlroster.Roster{
		DataCentre: s.DataCentre,
	}
	o, err := s.Platform.Get(ctx, zlplatform.ObjectRoster, string(s.DataCentre))
	if zlplatform.Is(err, zlplatform.KindNotFound) {
		return roster, nil
	}
	if err != nil {
		return roster, err
	}
	if err := json.Unmarshal(o.Value, &roster); err != nil {
		return roster, eris.Wrapf(err, "roster of %q", s.DataCentre)
	}
	roster.Epoch = o.Version
	return roster, nil
}

// Edit changes the roster by a conditional write and returns the result. After a
// conflict with another daemon it reads the roster and calls edit again. It
// writes nothing if edit changes no member, so that a write whose reply was lost
// is not repeated.
func (s *RosterStore) Edit(ctx context.Context, edit func(zlroster.Roster) zlroster.Roster) (zlroster.Roster, error) {
	for attempt := range maxEditAttempts {
		roster, err := s.Roster(ctx)
		if err != nil {
			return roster, err
		}
		next := edit(roster)
		if slices.Equal(next.Members, roster.Members) {
			return roster, nil
		}
		next.Epoch, err = s.Platform.Put(ctx, zlplatform.ObjectRoster, string(s.DataCentre), roster.Epoch, next)
		if err == nil {
			return next, nil
		}
		if !zlplatform.Is(err, zlplatform.KindConflict) {
			return roster, err
		}
		if !s.Timer.Sleep(ctx.Done(), ConflictBackoff(attempt, len(roster.Members))) {
			return roster, ctx.Err()
		}
	}
	return zlroster.Roster{}, eris.Errorf("edit roster of %q: gave up after %d conflicts", s.DataCentre, maxEditAttempts)
}

// ConflictBackoff returns a random pause (backoff with full jitter) after the conflict
// of an attempt, counted from 0, on a roster with a number of members.
func ConflictBackoff(attempt, members int) time.Duration {
	bound := conflictBackoffPerMember * time.Duration(members+1) << min(attempt, maxBackoffDoublings)
	return time.Duration(rand.Float64() * float64(bound))
}

// VMs reads the platform's list of VMs, which may be out of date.
func (s *RosterStore) VMs(ctx context.Context) (map[zlunit.VM]bool, error) {
	list, err := s.Platform.VMs(ctx)
	if err != nil {
		return nil, err
	}
	out := make(map[zlunit.VM]bool, len(list))
	for _, vm := range list {
		out[vm.Name] = true
	}
	return out, nil
}
