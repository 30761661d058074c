package zlreadbudget

import (
	"testing"

	"pgregory.net/rapid"
)

// Replays endless messages beside short ones: the endless ones fill what they may, and
// short messages still find room, as long as there are fewer endless ones than
// short messages fit the budget.
func TestEndlessMessagesLeaveRoomForShortOnes(t *testing.T) {
	const limit, short = Bytes(20 << 20), Bytes(4 << 10)
	for _, endless := range []int{1, 10, 100, 1000} {
		b := &Budget{
			Limit: limit,
		}
		list := make([]*Reservation, endless)
		for i := range list {
			list[i] = &Reservation{
				Budget: b,
			}
		}
		for progress := true; progress; {
			progress = false
			for _, r := range list {
				progress = r.Grow(short) || progress
			}
		}
		own := &Reservation{
			Budget: b,
		}
		if !own.Grow(short) {
			t.Errorf("%d endless messages hold %d of %d bytes; a message of %d bytes found no room", endless, b.Used(), limit, short)
		}
		for _, r := range append(list, own) {
			r.Close()
		}
		if b.Used() != 0 {
			t.Errorf("%d bytes are held after all reservations were closed", b.Used())
		}
	}
}

// The sum never passes the limit, nor that of all budgets, and what is returned is what was held.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := &Budget{
			Limit: Bytes(rapid.Int64Range(0, 1000).Draw(t, "total")),
		}
		b := &Budget{
			Limit: Bytes(rapid.Int64Range(0, 1000).Draw(t, "limit")),
			Total: total,
		}
		other := &Reservation{
			Budget: &Budget{
				Limit: 100,
				Total: total,
			},
		}
		beside := Bytes(0)
		if n := Bytes(rapid.Int64Range(0, 100).Draw(t, "other")); other.Grow(n) {
			beside = n
		}
		list := make([]Reservation, 4)
		for i := range list {
			list[i].Budget = b
		}
		held := make([]Bytes, len(list))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(list)-1).Draw(t, "reader")
			if rapid.IntRange(0, 4).Draw(t, "action") == 0 {
				list[i].Reset()
				held[i] = 0
			} else if n := Bytes(rapid.Int64Range(1, 400).Draw(t, "bytes")); list[i].Grow(n) {
				held[i] += n
			}
			sum := Bytes(0)
			for _, n := range held {
				sum += n
			}
			if b.Used() != sum || sum > b.Limit || total.Used() != sum+beside || sum+beside > total.Limit {
				t.Fatalf("%d bytes used, %d held, limit %d; with %d of another budget %d used, limit %d",
					b.Used(), sum, b.Limit, beside, total.Used(), total.Limit)
			}
		}
	})
}
