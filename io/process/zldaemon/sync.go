package zldaemon

import (
	"context"
	"encoding/json"
	"net/http"

	"zinnialock/core/request/zlquery"
	"zinnialock/io/process/zlplatform"
	"zinnialock/io/version/zlgossip"
	"zinnialock/io/version/zlsync"
)

// buildSync creates the parts that read updates from the platform and exchange them
// with other daemons.
func (d *Daemon) buildSync() {
	cfg := d.Config
	count := func(what, reason string) {
		d.metrics.Count(what, zlquery.Reason(reason))
	}
	d.watcher = &zlsync.Watcher{
		Deployment: cfg.Deployment,
		Home:       cfg.DataCentre,
		Platform:   d.platform,
		Timer:      d.timer,
		Views:      d.views,
		Log:        d.Log,
		Count:      count,
	}
	d.gossip = &zlgossip.Gossip{
		Self:        cfg.Name,
		Home:        cfg.DataCentre,
		Seeds:       cfg.PeerSeeds,
		Timer:       d.timer,
		Views:       d.views,
		Objects:     d.watcher,
		Log:         d.Log,
		ListedKinds: []string{string(zlplatform.ObjectSettings), string(zlplatform.ObjectMarks)},
		Count:       count,
		Quarantine:  d.quarantine,
	}
	d.quarantine.OnReport = d.gossip.SendCrashReport
	d.watcher.OnUpdate = d.gossip.TriggerRound
}

// runSync starts the parts of buildSync. The node must be running by then, since they
// send requests to other daemons.
func (d *Daemon) runSync(ctx context.Context) {
	d.gossip.Requester = d.node
	d.goroutines.Go(func() {
		d.watcher.Run(ctx)
	})
	d.goroutines.Go(func() {
		d.gossip.Run(ctx)
	})
}

// serveObjectStatus returns which versions of objects each daemon of the fleet has, or
// only this one for "?only=self".
func (d *Daemon) serveObjectStatus(w http.ResponseWriter, r *http.Request) {
	var all []zlgossip.Status
	if r.URL.Query().Get("only") == "self" {
		all = append(all, d.gossip.Status())
	} else {
		all = d.gossip.FleetStatus(r.Context())
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(all)
}

// markedOut reports whether this daemon's VM or data centre is out of service.
func (d *Daemon) markedOut() bool {
	view := d.views.Load()
	return view != nil && view.Marks.VMOut(d.Config.Name, d.Config.DataCentre)
}
