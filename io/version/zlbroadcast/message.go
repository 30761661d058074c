package zlbroadcast

import (
	"time"

	"zinnialock/core/process/zlbalancer"
	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/process/zlsharedrate"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlpoller"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zlrevision"
	"zinnialock/core/version/zlrollout"
	"zinnialock/core/version/zltable"
	"zinnialock/core/version/zlwatcher"

	"github.com/fxamacker/cbor/v2"
)

// message is one datagram: a heartbeat with an optional update of the store, or
// health reports.
type message struct {
	VM zlunit.VM `cbor:"1,keyasint"`
	// AgeMicros is the age of the store's last confirmation to the sender; -1
	// means that the message confirms nothing.
	AgeMicros int64 `cbor:"2,keyasint"`
	// Revisions and Eras are the two parts of the sender's revisions, by topic, of those
	// that each VM follows. A build that knows no eras sends none. RolloutRevision is that
	// of the orders of roll-outs, if the sender follows them.
	Revisions       [zlwatcher.NumCommonTopics]zlrevision.Number `cbor:"3,keyasint"`
	Eras            []zlrevision.Era                             `cbor:"8,keyasint,omitempty"`
	RolloutRevision *revision                                    `cbor:"16,keyasint,omitempty"`
	// Topic is what Update belongs to; it means nothing without one.
	Topic         zlwatcher.Topic           `cbor:"4,keyasint,omitempty"`
	Update        *delta                    `cbor:"5,keyasint,omitempty"`
	HealthReports []zlbalancer.HealthReport `cbor:"6,keyasint,omitempty"`
	// Sequence counts the messages of the VM; the VMs that forward this message
	// follow from it.
	Sequence uint32 `cbor:"7,keyasint,omitempty"`
	// Crash is what the sender knows of requests that crash replicas. Ask asks the receiver
	// for that, and Reply marks the answer; neither is forwarded.
	Crash *zlquarantine.Report `cbor:"9,keyasint,omitempty"`
	Ask   bool                 `cbor:"10,keyasint,omitempty"`
	Reply bool                 `cbor:"11,keyasint,omitempty"`
	// Organisations is set if the table of the sender's revision has organisations.
	Organisations bool `cbor:"12,keyasint,omitempty"`
	// Short are services that the sender found short of places. It is missing in messages of
	// deployments without organisations and of a build that reports none.
	Short []zlunit.Service `cbor:"13,keyasint,omitempty"`
	// Rate is on shared rates, for the VM that RateReceiver identifies. Such a message has
	// nothing else and is not forwarded.
	Rate         *zlsharedrate.Message `cbor:"14,keyasint,omitempty"`
	RateReceiver uint32                `cbor:"15,keyasint,omitempty"`
	// Rollout is evidence on new versions, or verdicts. Direct is set if the message is not
	// to be forwarded; a build that does not know it may forward it, which is harmless.
	Rollout *zlrollout.Report `cbor:"17,keyasint,omitempty"`
	Direct  bool              `cbor:"18,keyasint,omitempty"`
}

// revision is the encoded form of a zlrevision.Revision.
type revision struct {
	Number zlrevision.Number `cbor:"1,keyasint"`
	Era    zlrevision.Era    `cbor:"2,keyasint,omitempty"`
}

// delta is the encoded form of a zlwatcher.Delta.
type delta struct {
	From         zlrevision.Number  `cbor:"1,keyasint"`
	To           zlrevision.Number  `cbor:"2,keyasint"`
	Full         bool               `cbor:"3,keyasint,omitempty"`
	Table        *tableItem         `cbor:"4,keyasint,omitempty"`
	Replicas     []replicaItem      `cbor:"5,keyasint,omitempty"`
	OutOfService []outOfServiceItem `cbor:"6,keyasint,omitempty"`
	FromEra      zlrevision.Era     `cbor:"7,keyasint,omitempty"`
	ToEra        zlrevision.Era     `cbor:"8,keyasint,omitempty"`
	Rollouts     []rolloutItem      `cbor:"9,keyasint,omitempty"`
}

type tableItem struct {
	Version  zltable.Version   `cbor:"1,keyasint"`
	Routes   []zltable.Route   `cbor:"2,keyasint"`
	Services []zltable.Service `cbor:"3,keyasint"`
	Limits   zltable.Limits    `cbor:"4,keyasint"`
	// Organisations is missing in messages of a build that knows none; see
	// zlwatcher.Watcher.ApplyPeerDelta.
	Organisations []zltable.Organisation `cbor:"5,keyasint,omitempty"`
	// Kept is a bit for each bucket of organisations that the reply to a fetch leaves out,
	// since the receiver has them; empty if Organisations is whole.
	Kept []byte `cbor:"6,keyasint,omitempty"`
}

type replicaItem struct {
	ID      zlunit.Upstream     `cbor:"1,keyasint"`
	Replica *zlregistry.Replica `cbor:"2,keyasint,omitempty"`
}

type outOfServiceItem struct {
	DataCentre zlunit.DataCentre `cbor:"1,keyasint"`
	Removed    bool              `cbor:"2,keyasint,omitempty"`
}

type rolloutItem struct {
	Name  string           `cbor:"1,keyasint"`
	Order *zlrollout.Order `cbor:"2,keyasint,omitempty"`
}

const (
	// maxItems bounds the lists of one message, in entries; it leaves room for
	// all replicas and routes of the largest supported deployment.
	maxItems = 16384
	// maxDepth bounds the nesting of a message, in levels.
	maxDepth = 12
)

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxItems,
		MaxMapPairs:      maxItems,
		MaxNestedLevels:  maxDepth,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func toWire(d *zlwatcher.Delta) *delta {
	out := &delta{
		From:    d.FromRevision.Number,
		To:      d.ToRevision.Number,
		FromEra: d.FromRevision.Era,
		ToEra:   d.ToRevision.Era,
		Full:    d.Full,
	}
	for _, i := range d.Items {
		switch i := i.(type) {
		case *zlwatcher.TableItem:
			out.addTable(i.Table)
		case *zlwatcher.ReplicaItem:
			out.Replicas = append(out.Replicas, replicaItem{
				ID:      i.ID,
				Replica: i.Replica,
			})
		case *zlwatcher.OutOfServiceItem:
			out.OutOfService = append(out.OutOfService, outOfServiceItem{
				DataCentre: i.DataCentre,
				Removed:    i.Removed,
			})
		case *zlwatcher.RolloutItem:
			out.Rollouts = append(out.Rollouts, rolloutItem{
				Name:  i.Name,
				Order: i.Order,
			})
		}
	}
	return out
}

// addTable adds t unless the delta holds a table of the same or a later version.
func (d *delta) addTable(t *zltable.Table) {
	if t == nil || (d.Table != nil && d.Table.Version >= t.Version) {
		return
	}
	d.Table = &tableItem{
		Version: t.Version,
		Routes:  t.Routes,
		Limits:  t.Limits,

		Organisations: t.Organisations,
	}
	for _, s := range t.Services {
		d.Table.Services = append(d.Table.Services, s)
	}
}

func fromWire(d *delta) *zlwatcher.Delta {
	out := &zlwatcher.Delta{
		FromRevision: zlrevision.Revision{
			Era:    d.FromEra,
			Number: d.From,
		},
		ToRevision: zlrevision.Revision{
			Era:    d.ToEra,
			Number: d.To,
		},
		Full: d.Full,
	}
	if t := d.Table; t != nil {
		out.Items = append(out.Items, &zlwatcher.TableItem{
			Table: zltable.New(t.Version, t.Routes, t.Services, t.Limits).WithOrganisations(t.Organisations),
		})
	}
	for _, r := range d.Replicas {
		out.Items = append(out.Items, &zlwatcher.ReplicaItem{
			ID:      r.ID,
			Replica: r.Replica,
		})
	}
	for _, m := range d.OutOfService {
		out.Items = append(out.Items, &zlwatcher.OutOfServiceItem{
			DataCentre: m.DataCentre,
			Removed:    m.Removed,
		})
	}
	for _, r := range d.Rollouts {
		out.Items = append(out.Items, &zlwatcher.RolloutItem{
			Name:  r.Name,
			Order: r.Order,
		})
	}
	return out
}

// setRevisions sets the sender's revisions.
func (m *message) setRevisions(revisions [zlwatcher.NumTopics]zlrevision.Revision) {
	for i, r := range revisions[:zlwatcher.NumCommonTopics] {
		m.Revisions[i] = r.Number
		if r.Era > 0 && m.Eras == nil {
			m.Eras = make([]zlrevision.Era, zlwatcher.NumCommonTopics)
		}
		if m.Eras != nil {
			m.Eras[i] = r.Era
		}
	}
	if r := revisions[zlwatcher.TopicRollouts]; r != (zlrevision.Revision{}) {
		m.RolloutRevision = &revision{
			Number: r.Number,
			Era:    r.Era,
		}
	}
}

func (m *message) heartbeat() *zlpoller.Heartbeat {
	b := &zlpoller.Heartbeat{
		VM:  m.VM,
		Age: time.Duration(m.AgeMicros) * time.Microsecond,
	}
	for i, n := range m.Revisions {
		b.Revisions[i].Number = n
		if i < len(m.Eras) {
			b.Revisions[i].Era = m.Eras[i]
		}
	}
	if r := m.RolloutRevision; r != nil {
		b.Revisions[zlwatcher.TopicRollouts] = zlrevision.Revision{
			Number: r.Number,
			Era:    r.Era,
		}
	}
	return b
}
