package zlbroadcast

import (
	"testing"

	"zinnialock/core/process/zlsharedrate"

	"github.com/fxamacker/cbor/v2"
)

// A message on shared rates has to reach the VM that it is for and no other, with the address
// of its sender, and a build that doesn't know it must be able to read it.
func TestRateMessageReachesItsReceiver(t *testing.T) {
	pair := newPair(t)
	type received struct {
		from  zlsharedrate.Member
		asked int
	}
	got := make(chan received, 4)
	pair[1].OnRate = func(from zlsharedrate.Member, m *zlsharedrate.Message) {
		got <- received{
			from:  from,
			asked: len(m.Asks),
		}
	}
	sent := &zlsharedrate.Message{
		Asks: make([]zlsharedrate.Ask, 3),
	}
	to := zlsharedrate.Member{
		VM:      "another",
		Address: pair[1].Address,
	}
	pair[0].SendRate(to, sent)
	to.VM = pair[1].VM
	pair[0].SendRate(to, sent)
	want := received{
		from: zlsharedrate.Member{
			VM:      pair[0].VM,
			Address: pair[0].Address,
		},
		asked: 3,
	}
	if r := <-got; r != want || len(got) > 0 {
		t.Errorf("got %+v and %d more, want %+v", r, len(got), want)
	}
	data, err := cbor.Marshal(&message{
		VM:   "vm",
		Rate: sent,
	})
	var earlier struct {
		VM string `cbor:"1,keyasint"`
	}
	if err != nil || decoder.Unmarshal(data, &earlier) != nil || earlier.VM != "vm" {
		t.Errorf("a build without shared rates reads %+v", earlier)
	}
}
