package zlbroadcast

import (
	"reflect"
	"testing"

	"zinnialock/core/version/zlrollout"
	"zinnialock/core/version/zlwatcher"

	"github.com/fxamacker/cbor/v2"
)

// Guards against orders and reports that change on their way between VMs, and against a
// report for a single VM that is passed on to all, or taken for a heartbeat.
func TestRolloutsInMessages(t *testing.T) {
	order := &zlrollout.Order{
		Duration: 7,
	}
	order.ID.Target, order.ID.Created.Number, order.Status.State = "v2", 3, zlrollout.StateRunning
	orders := &zlwatcher.Delta{
		Items: []zlwatcher.Item{&zlwatcher.RolloutItem{
			Name:  "s1",
			Order: order,
		}},
	}
	report := &zlrollout.Report{
		Start: 7,
		Evidence: []zlrollout.Evidence{{
			Tallies: []zlrollout.Tally{{
				Route: "r",
			}},
		}},
	}
	data, err := cbor.Marshal(&message{
		Update:  toWire(orders),
		Rollout: report,
		Direct:  true,
	})
	var received message
	if err != nil || decoder.Unmarshal(data, &received) != nil || !reflect.DeepEqual(fromWire(received.Update), orders) || !received.Direct {
		t.Errorf("got message %+v, error %v, want the orders, not to be forwarded", received, err)
	}
	var got *zlrollout.Report
	// Without a PollPolicy anything else than the report would panic.
	b := &Broadcaster{
		OnRolloutReport: func(r *zlrollout.Report) {
			got = r
		},
	}
	if b.handle(&received, nil); !reflect.DeepEqual(got, report) {
		t.Errorf("got report %+v, want %+v", got, report)
	}
}
