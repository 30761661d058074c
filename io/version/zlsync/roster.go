package zlsync

import (
	"context"
	"encoding/json"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlroster"
	"zinnialock/io/process/zlplatform"

	"github.com/rotisserie/eris"
)

// editTries bounds the tries of a conditional write that others race with.
const editTries = 20

// EditRoster changes the roster of dc by a conditional write, again from the
// start when another daemon wrote first.
func EditRoster(ctx context.Context, c *zlplatform.Client, dc zlunit.DataCentre, edit func(zlroster.Roster) zlroster.Roster) error {
	for range editTries {
		roster, version, err := readRoster(ctx, c, dc)
		if err != nil {
			return err
		}
		_, err = c.Put(ctx, zlplatform.ObjectRoster, string(dc), version, edit(roster))
		if err == nil {
			return nil
		}
		if !zlplatform.Is(err, zlplatform.KindConflict) {
			return err
		}
	}
	return eris.Errorf("roster of %q: gave up after %d conflicts", dc, editTries)
}

func readRoster(ctx context.Context, c *zlplatform.Client, dc zlunit.DataCentre) (zlroster.Roster, zlunit.ObjectVersion, error) {
	roster := zlroster.Roster{
		DataCentre: dc,
	}
	o, err := c.Get(ctx, zlplatform.ObjectRoster, string(dc))
	if zlplatform.Is(err, zlplatform.KindNotFound) {
		return roster, 0, nil
	}
	if err != nil {
		return roster, 0, err
	}
	if err := json.Unmarshal(o.Value, &roster); err != nil {
		return roster, 0, eris.Wrapf(err, "roster of %q", dc)
	}
	return roster, o.Version, nil
}
