package zldaemon

import (
	"context"
	"os"
	"time"

	"zinnialock/core/process/zlevent"
	"zinnialock/io/process/zlkeys"
)

const (
	// keysPeriod is the time between two looks at the key files.
	keysPeriod = 5 * time.Second
	// keysJitter lengthens it at random, as a share of it.
	keysJitter = 0.2
)

// stamp tells whether a file has changed.
type stamp struct {
	at   time.Time
	size int64
}

func stamps(f zlkeys.Files) [3]stamp {
	var out [3]stamp
	for i, name := range []string{f.Certificate, f.Key, f.Authority} {
		if info, err := os.Stat(name); err == nil {
			out[i] = stamp{
				at:   info.ModTime(),
				size: info.Size(),
			}
		}
	}
	return out
}

// followKeys takes up replaced key files until ctx ends. Files that cannot be
// used leave the keys in force and are tried again at the next look.
func (d *Daemon) followKeys(ctx context.Context) {
	if d.Keys.Files == (zlkeys.Files{}) {
		return
	}
	known := stamps(d.Keys.Files)
	d.timer.Subscribe(ctx.Done(), keysPeriod, keysJitter, func() {
		now := stamps(d.Keys.Files)
		if now == known {
			return
		}
		if err := d.Keys.Load(); err != nil {
			d.Log.Warn().Err(err).Msg("keys: replaced files refused, the old ones stay in force")
			return
		}
		known = now
		d.Log.Info().Msg("keys: replaced files are in force")
		d.events.Add(zlevent.Event{
			At:      d.timer.Now(),
			Kind:    zlevent.KindKeys,
			Subject: d.Keys.Files.Certificate,
			Why:     "files replaced",
		})
	})
}
