package zlsharedrate

import (
	"testing"
	"time"
)

// Guards against more than a limit allows after a shortage in which requests are granted,
// refused 150 ms later and returned again and again.
func TestReturnedTokensExpire(t *testing.T) {
	const wait, shortage = 150 * time.Millisecond, 5 * time.Second
	for _, vms := range []int{1, 66} {
		l := Limit{Rate: 400, Burst: 200}
		f := newFleet(t, vms, map[Key]Limit{key: l})
		type held struct {
			token Token
			at    time.Time
		}
		var waiting []held
		end := f.now.Add(shortage)
		f.run(shortage+5*time.Second, func() {
			for range 6 {
				f.nodes[0].Take(key, f.now, func(v Verdict) {
					if v.Granted {
						waiting = append(waiting, held{token: v.Token, at: f.now})
					}
				})
			}
			for len(waiting) > 0 && (!f.now.Before(end) || f.now.Sub(waiting[0].at) >= wait) {
				if f.now.Before(end) {
					f.nodes[0].Return(key, waiting[0].token, f.now)
				} else {
					f.grants[key] = append(f.grants[key], f.now)
				}
				waiting = waiting[1:]
			}
			f.send(0)
		})
		t.Logf("%d VMs: %d ran in the 5 s after the shortage", vms, f.checkWindows(l))
	}
}

// Guards against whole tokens that come back for a grant by chance, which took a part of
// one, and against tokens that come back after a pause of the process.
func TestTokensThatDoNotComeBack(t *testing.T) {
	for name, c := range map[string]struct {
		vms   int
		pause time.Duration
		want  int
	}{
		"at once":       {vms: 1, want: 1},
		"after a pause": {vms: 1, pause: 2 * pauseTime},
		"by chance":     {vms: 66},
	} {
		f := newFleet(t, c.vms, map[Key]Limit{key: {Rate: 4, Burst: 4}})
		f.cut = func(int, int) bool {
			return true
		}
		n := f.nodes[0]
		n.Random = func() float64 {
			return 0
		}
		var v Verdict
		n.Take(key, f.now, func(got Verdict) {
			v = got
		})
		f.run(3*answerTime, func() {})
		f.now = f.now.Add(c.pause)
		if n.Return(key, v.Token, f.now); !v.Granted || len(n.clients[key].batches) != c.want {
			t.Errorf("%s: got verdict %+v, then %d batches, want %d", name, v, len(n.clients[key].batches), c.want)
		}
	}
}
