package zlbroadcast

import (
	"testing"
	"time"

	"zinnialock/core/process/zlbalancer"
	"zinnialock/core/process/zlquarantine"
	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlregistry"
	"zinnialock/core/version/zlrevision"
	"zinnialock/core/version/zltable"
	"zinnialock/io/standin/zlrecorded"
)

// recordedMessages returns a message of each kind, as they are in testdata/recorded.
func recordedMessages() map[string]any {
	return map[string]any{
		"heartbeat": &message{
			VM:        "vm-1",
			AgeMicros: 1500,
			Revisions: [3]zlrevision.Number{4, 5, 6},
			Eras:      []zlrevision.Era{1, 1, 1},
			Sequence:  9,
			Crash: &zlquarantine.Report{
				Cleared: []zlunit.Fingerprint{77},
				Ended: []zlquarantine.Replica{{
					Upstream:    "a",
					Incarnation: 7,
				}},
			},
		},
		"update": &message{
			VM:        "vm-1",
			AgeMicros: -1,
			Topic:     1,
			Update: &delta{
				From: 4,
				To:   6,
				Table: &tableItem{
					Version: 3,
					Routes: []zltable.Route{{
						Name:        "r",
						Host:        "h",
						Prefix:      "/",
						Timeout:     time.Second,
						Shards:      []zlunit.Service{"s1", "s2"},
						MaxRecords:  5,
						MinCoverage: 0.75,
					}},
					Services: []zltable.Service{{
						Name:     "s1",
						ColdRate: 2,
					}},
					Limits: zltable.Limits{
						HeaderBytes: 4096,
					},
				},
				Replicas: []replicaItem{
					{
						ID: "a",
						Replica: &zlregistry.Replica{
							ID:          "a",
							Service:     "s1",
							Address:     "10.0.0.1:80",
							Incarnation: 7,
							Seq:         2,
							Draining:    true,
						},
					},
					{
						ID: "gone",
					},
				},
				OutOfService: []outOfServiceItem{{
					DataCentre: "nashua",
					Removed:    true,
				}},
				ToEra: 2,
			},
		},
		"healthReports": &message{
			VM:        "vm-1",
			AgeMicros: -1,
			HealthReports: []zlbalancer.HealthReport{{
				Upstream:    "a",
				Incarnation: 7,
				Address:     "10.0.0.1:80",
			}},
		},
		"ask": &message{
			VM:  "vm-1",
			Ask: true,
		},
	}
}

// Guards against a build that cannot run beside the one before it: it reads the recorded
// messages of earlier builds, passes over fields that it does not know, and writes the same
// bytes, so that they read its own.
func TestMessagesOfEarlierBuilds(t *testing.T) {
	zlrecorded.Check(t, decoder, recordedMessages())
}
