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
	// editTries bounds the tries of a conditional write that others race with.
	editTries = 40
	// rosterPause bounds the first pause after a conflict, for each member of the
	// roster, since all of them may be writing.
	rosterPause = 10 * time.Millisecond
	// editDoublings is how often the bound doubles.
	editDoublings = 3
)

// RosterStore reads and writes the roster of one data centre at the platform.
// The exported fields must be set before use.
type RosterStore struct {
	DataCentre zlunit.DataCentre
	Platform   *zlplatform.Client
	Timer      *zltimer.Service
}

// Roster reads the roster; one that does not exist is empty and has epoch 0.
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

// Edit changes the roster by a conditional write, again from the start when
// another daemon wrote first, and returns the roster in force then. It writes
// nothing if edit changes no member, so that a write whose reply was lost is
// not repeated.
func (s *RosterStore) Edit(ctx context.Context, edit func(zlroster.Roster) zlroster.Roster) (zlroster.Roster, error) {
	for try := range editTries {
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
		if !s.Timer.Sleep(ctx.Done(), EditPause(try, len(roster.Members))) {
			return roster, ctx.Err()
		}
	}
	return zlroster.Roster{}, eris.Errorf("roster of %q: gave up after %d conflicts", s.DataCentre, editTries)
}

// EditPause draws the pause after the conflict of a try, from 0, on a roster of
// the given size.
func EditPause(try, members int) time.Duration {
	bound := rosterPause * time.Duration(members+1) << min(try, editDoublings)
	return time.Duration(rand.Float64() * float64(bound))
}

// VMs reads the platform's list of VMs, which lags.
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
