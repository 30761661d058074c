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

// buildNews wires the follower of the platform and the exchange of news with
// other daemons.
func (d *Daemon) buildNews() {
	cfg := d.Config
	count := func(what, reason string) {
		d.metrics.Count(what, zlquery.Reason(reason))
	}
	d.follower = &zlsync.Follower{
		Deployment: cfg.Deployment,
		Home:       cfg.DataCentre,
		Platform:   d.platform,
		Timer:      d.timer,
		Views:      d.views,
		Log:        d.Log,
		Count:      count,
	}
	d.gossip = &zlgossip.Gossip{
		Self:  cfg.Name,
		Home:  cfg.DataCentre,
		Seeds: cfg.PeerSeeds,
		Timer: d.timer,
		Views: d.views,
		News:  d.follower,
		Log:   d.Log,
		Shown: []string{string(zlplatform.ObjectSettings), string(zlplatform.ObjectMarks)},
		Count: count,
	}
	d.follower.Taken = d.gossip.Kick
}

// runNews starts the parts of buildNews; the peer protocol is up by then.
func (d *Daemon) runNews(ctx context.Context) {
	d.gossip.Asker = d.node
	d.parts.Go(func() {
		d.follower.Run(ctx)
	})
	d.parts.Go(func() {
		d.gossip.Run(ctx)
	})
}

// serveNews shows what each daemon of the fleet holds, or only this one with
// "?only=self".
func (d *Daemon) serveNews(w http.ResponseWriter, r *http.Request) {
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
