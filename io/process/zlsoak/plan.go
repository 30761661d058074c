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
	// KindPause suspends a daemon with SIGSTOP for a time.
	KindPause Kind = "pause"
	// KindStop ends a daemon by SIGTERM, as a planned stop, and starts it
	// again.
	KindStop Kind = "stop"
	// KindUpstream injects a fault into the connections to an upstream.
	KindUpstream Kind = "upstream"
	// KindReset resets the connections to an upstream.
	KindReset Kind = "reset"
	// KindCold makes an upstream restart cold.
	KindCold Kind = "cold"
	// KindPlatform injects a fault into the platform, which affects all
	// daemons.
	KindPlatform Kind = "platform"
	// KindCut injects a network fault between one daemon and the platform; other
	// daemons are not affected.
	KindCut Kind = "cut"
	// KindMark takes a data centre out of service and restores it.
	KindMark Kind = "mark"
	// KindLeave makes an upstream leave and return cold.
	KindLeave Kind = "leave"
	// KindEdit changes the settings tree.
	KindEdit Kind = "edit"
	// KindReshard gives a service a new index version and removes the old one.
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
	// Draw is the random number that selects the target and variant of the
	// step.
	Draw uint64 `json:"draw"`
	// For is how long the step lasts, if its kind has a duration.
	For time.Duration `json:"forNs"`
}

const (
	// firstStep leaves time for the load to start. quietEnd leaves time for
	// everything to recover before the counts are read; it is longer than a
	// data centre is out of service.
	firstStep = time.Second
	quietEnd  = 8 * time.Second
	// meanStepGap is the mean time between step starts; it is short enough that
	// several steps overlap.
	meanStepGap = 700 * time.Millisecond
	// minStepLength and maxStepLength limit how long a step lasts. A lease
	// expires 10 s after its last heartbeat; with overlapping restarts, some
	// pauses are longer than that.
	minStepLength = 300 * time.Millisecond
	maxStepLength = 4 * time.Second
)

// planSteps returns the steps of a run. The same seed and length give the same
// steps.
func planSteps(seed uint64, length time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, 11))
	var steps []Step
	var remaining []Kind
	for at := firstStep; at < length-quietEnd; {
		if len(remaining) == 0 {
			remaining = slices.Clone(kinds)
			random.Shuffle(len(remaining), func(i, j int) { remaining[i], remaining[j] = remaining[j], remaining[i] })
		}
		steps = append(steps, Step{
			At:   at,
			Kind: remaining[0],
			Draw: random.Uint64(),
			For:  minStepLength + time.Duration(random.Float64()*float64(maxStepLength-minStepLength)),
		})
		remaining = remaining[1:]
		at += time.Duration(random.ExpFloat64() * float64(meanStepGap))
	}
	return steps
}

// drawFault chooses a connection fault and its description.
func drawFault(draw uint64) (faults zlproxy.Faults, description string) {
	switch draw % 5 {
	case 0:
		faults.Delay, description = 60*time.Millisecond, "slow"
	case 1:
		faults.MuteTo, description = true, "data to the server held back"
	case 2:
		faults.MuteFrom, description = true, "data from the server held back"
	case 3:
		faults.MuteTo, faults.MuteFrom, description = true, true, "silent"
	default:
		faults.Refuse, description = true, "new connections refused"
	}
	return faults, description
}
