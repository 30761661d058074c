package zldaemon

import (
	"context"
	"os"
	"time"

	"zinnialock/core/process/zlevent"
	"zinnialock/io/process/zlkeys"
)

const (
	// keysPollPeriod is the time between two checks of the key files.
	keysPollPeriod = 5 * time.Second
	// keysPollJitter is the maximum random extension of that period, as a share
	// of it.
	keysPollJitter = 0.2
)

// fileStamp is the state of a file by which a change is detected.
type fileStamp struct {
	modified time.Time
	size     int64
}

// fileStamps returns the states of the files of f, zero for a file that is missing.
func fileStamps(f zlkeys.Files) [3]fileStamp {
	var out [3]fileStamp
	for i, name := range []string{f.Certificate, f.Key, f.Authority} {
		if info, err := os.Stat(name); err == nil {
			out[i] = fileStamp{
				modified: info.ModTime(),
				size:     info.Size(),
			}
		}
	}
	return out
}

// watchKeys loads replaced key files until ctx ends. If the files are invalid, the
// current keys stay in force and the files are loaded again at the next check.
func (d *Daemon) watchKeys(ctx context.Context) {
	if d.Keys.Files == (zlkeys.Files{}) {
		return
	}
	loaded := fileStamps(d.Keys.Files)
	d.timer.Subscribe(ctx.Done(), keysPollPeriod, keysPollJitter, func() {
		now := fileStamps(d.Keys.Files)
		if now == loaded {
			return
		}
		if err := d.Keys.Load(); err != nil {
			d.Log.Warn().Err(err).Msg("keys: loading replaced files failed; the current keys stay in force")
			return
		}
		loaded = now
		d.Log.Info().Msg("keys: loaded replaced files")
		d.events.Add(zlevent.Event{
			At:      d.timer.Now(),
			Kind:    zlevent.KindKeys,
			Subject: d.Keys.Files.Certificate,
			Why:     "files replaced",
		})
	})
}
