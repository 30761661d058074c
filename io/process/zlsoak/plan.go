package zlsoak

import (
	"math/rand/v2"
	"slices"
	"time"

	"zinnialock/io/standin/zlproxy"
)

// Kind names what a step does.
type Kind string

// The kinds of steps.
const (
	// KindKill ends a daemon by SIGKILL and starts it again.
	KindKill Kind = "kill"
	// KindPause stops a daemon with SIGSTOP for a time.
	KindPause Kind = "pause"
	// KindStop ends a daemon by SIGTERM, as planned, and starts it again.
	KindStop Kind = "stop"
	// KindUpstream makes the connections to an upstream misbehave.
	KindUpstream Kind = "upstream"
	// KindReset breaks the connections to an upstream.
	KindReset Kind = "reset"
	// KindCold makes an upstream start again, cold.
	KindCold Kind = "cold"
	// KindPlatform makes the platform misbehave for all.
	KindPlatform Kind = "platform"
	// KindCut makes the connections of one daemon to the platform misbehave.
	KindCut Kind = "cut"
	// KindMark takes a data centre out of service and back.
	KindMark Kind = "mark"
	// KindLeave makes an upstream leave, and come back cold.
	KindLeave Kind = "leave"
	// KindEdit changes the settings tree.
	KindEdit Kind = "edit"
	// KindReshard gives a service a new index version and drops the old one.
	KindReshard Kind = "reshard"
)

var kinds = []Kind{
	KindKill, KindPause, KindStop, KindUpstream, KindReset, KindCold, KindPlatform, KindCut,
	KindMark, KindLeave, KindEdit, KindReshard,
}

// Step is one fault or change.
type Step struct {
	At   time.Duration `json:"atNs"`
	Kind Kind          `json:"kind"`
	// Draw chooses what it happens to.
	Draw uint64 `json:"draw"`
	// For is how long it lasts, where it does.
	For time.Duration `json:"forNs"`
}

const (
	// firstStep is left for the load to begin, lastStep for all to come back
	// before the counts are read: longer than a data centre is out.
	firstStep = time.Second
	lastStep  = 8 * time.Second
	// gapMean is the mean time between steps, so that several overlap.
	gapMean = 700 * time.Millisecond
	// lengthLeast and lengthMost bound how long a step lasts. A lease is over
	// after 10 s without a beat; with the restarts that overlap, some pauses are
	// longer.
	lengthLeast = 300 * time.Millisecond
	lengthMost  = 4 * time.Second
)

// planOf lists the steps of a seed; the same seed gives the same steps.
func planOf(seed uint64, length time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, 11))
	var steps []Step
	var bag []Kind
	for at := firstStep; at < length-lastStep; {
		if len(bag) == 0 {
			bag = slices.Clone(kinds)
			random.Shuffle(len(bag), func(i, j int) { bag[i], bag[j] = bag[j], bag[i] })
		}
		steps = append(steps, Step{
			At:   at,
			Kind: bag[0],
			Draw: random.Uint64(),
			For:  lengthLeast + time.Duration(random.Float64()*float64(lengthMost-lengthLeast)),
		})
		bag = bag[1:]
		at += time.Duration(random.ExpFloat64() * float64(gapMean))
	}
	return steps
}

// moodOf draws how connections misbehave.
func moodOf(draw uint64) (m zlproxy.Mood, text string) {
	switch draw % 5 {
	case 0:
		m.Delay, text = 60*time.Millisecond, "slow"
	case 1:
		m.MuteTo, text = true, "cut there"
	case 2:
		m.MuteFrom, text = true, "cut back"
	case 3:
		m.MuteTo, m.MuteFrom, text = true, true, "silent"
	default:
		m.Refuse, text = true, "refused"
	}
	return m, text
}
