package zlcast

import (
	"time"

	"zinnialock/core/process/zlbalancer"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlpoller"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zltable"
	"zinnialock/core/version/zlwatcher"

	"github.com/fxamacker/cbor/v2"
)

// message is one datagram: a beat, and perhaps small news.
type message struct {
	VM        zlunit.VM                   `cbor:"1,keyasint"`
	AgeMicros int64                       `cbor:"2,keyasint"`
	Revisions [zlwatcher.NumTopics]uint64 `cbor:"3,keyasint"`
	Topic     zlwatcher.Topic             `cbor:"4,keyasint,omitempty"`
	News      *delta                      `cbor:"5,keyasint,omitempty"`
	Opinions  []zlbalancer.HealthReport   `cbor:"6,keyasint,omitempty"`
	// Turn counts the messages of the VM; it tells who passes this one on.
	Turn uint32 `cbor:"7,keyasint,omitempty"`
}

// delta is a zlwatcher.Delta as it travels.
type delta struct {
	From     uint64        `cbor:"1,keyasint"`
	To       uint64        `cbor:"2,keyasint"`
	Full     bool          `cbor:"3,keyasint,omitempty"`
	Table    *tableNews    `cbor:"4,keyasint,omitempty"`
	Replicas []replicaNews `cbor:"5,keyasint,omitempty"`
	Marks    []outNews     `cbor:"6,keyasint,omitempty"`
}

type tableNews struct {
	Version  zltable.Version   `cbor:"1,keyasint"`
	Routes   []zltable.Route   `cbor:"2,keyasint"`
	Services []zltable.Service `cbor:"3,keyasint"`
	Limits   zltable.Limits    `cbor:"4,keyasint"`
}

type replicaNews struct {
	ID      zlunit.Upstream     `cbor:"1,keyasint"`
	Replica *zlregistry.Replica `cbor:"2,keyasint,omitempty"`
}

type outNews struct {
	DataCentre zlunit.DataCentre `cbor:"1,keyasint"`
	In         bool              `cbor:"2,keyasint,omitempty"`
}

const (
	// maxItems bounds the lists of one message: the replicas and routes of the
	// size to design for.
	maxItems = 16384
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
		From: d.From,
		To:   d.To,
		Full: d.Full,
	}
	for _, i := range d.Items {
		switch i := i.(type) {
		case *zlwatcher.TableItem:
			out.addTable(i.Table)
		case *zlwatcher.ReplicaItem:
			out.Replicas = append(out.Replicas, replicaNews{
				ID:      i.ID,
				Replica: i.Replica,
			})
		case *zlwatcher.OutOfServiceItem:
			out.Marks = append(out.Marks, outNews{
				DataCentre: i.DataCentre,
				In:         i.Removed,
			})
		}
	}
	return out
}

// addTable keeps the newest table.
func (d *delta) addTable(t *zltable.Table) {
	if t == nil || (d.Table != nil && d.Table.Version >= t.Version) {
		return
	}
	d.Table = &tableNews{
		Version: t.Version,
		Routes:  t.Routes,
		Limits:  t.Limits,
	}
	for _, s := range t.Services {
		d.Table.Services = append(d.Table.Services, s)
	}
}

func fromWire(d *delta) *zlwatcher.Delta {
	out := &zlwatcher.Delta{
		From: d.From,
		To:   d.To,
		Full: d.Full,
	}
	if t := d.Table; t != nil {
		out.Items = append(out.Items, &zlwatcher.TableItem{
			Table: zltable.New(t.Version, t.Routes, t.Services, t.Limits),
		})
	}
	for _, r := range d.Replicas {
		out.Items = append(out.Items, &zlwatcher.ReplicaItem{
			ID:      r.ID,
			Replica: r.Replica,
		})
	}
	for _, m := range d.Marks {
		out.Items = append(out.Items, &zlwatcher.OutOfServiceItem{
			DataCentre: m.DataCentre,
			Removed:    m.In,
		})
	}
	return out
}

func (m *message) beat() *zlpoller.Heartbeat {
	return &zlpoller.Heartbeat{
		VM:        m.VM,
		Age:       time.Duration(m.AgeMicros) * time.Microsecond,
		Revisions: m.Revisions,
	}
}
