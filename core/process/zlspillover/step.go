package zlspillover

import (
	"time"

	"zinnialock/core/process/zlunit"
)

const (
	// stepInterval is the time between two changes of the shares; maxStep bounds the
	// time that one change counts for, after a pause without requests.
	stepInterval = 100 * time.Millisecond
	maxStep      = time.Second
	// beginGain and keepGain are the gain, in times of work, above which a share rises
	// and below which it falls. Between them it leaks only, so that noise of 15% does
	// not move it. With 0.5 instead of 0.3, 0.004 less was served in time under waves
	// (one seed).
	beginGain = 0.3
	keepGain  = 0.1
	// riseRate and fallRate are the change per second for each unit of gain above
	// beginGain or below keepGain; maxRate bounds it, since the latency follows the
	// shares of all VMs only after averageTime.
	riseRate = 0.2
	fallRate = 0.3
	maxRate  = 0.3
	// promptRate is the share for each unit of gain above beginGain that is sent at
	// once; maxPromptGain bounds the gain that counts. The slow part alone comes a
	// second late in each phase of a wave.
	promptRate    = 1.0
	maxPromptGain = 2.0
	// inFlightGain is the gain for each request of this VM in flight at the least busy
	// replica of the own data centre, which is what Place counts for one. It counts
	// only while the gain is above 0 without it.
	inFlightGain = 1.0
	// leakRate is the fall per second of a share that neither rises nor falls, so that
	// traffic returns when nothing speaks for either place.
	leakRate = 0.02
	// shortExcess is the excess of the expected time over the usual one, in times of
	// work, from which on a data centre is short of capacity itself: a queue there takes
	// longer than the one that is to be avoided here.
	shortExcess = 1.5
	// shortRefusals is the share of refusals from which on it is short, too: where all are
	// short for long, the usual time has followed the queues and shows no excess.
	shortRefusals = 0.25
	// maxShare keeps some requests in the data centre, which show when it has capacity
	// again.
	maxShare = 0.95
	// waitingCost is what a request that waits at this VM adds to the expected time, in
	// times of work; maxWaiting bounds their number.
	waitingCost = 0.25
	maxWaiting  = 8
	// defaultRoundTrip is used until a round trip to a data centre was measured: twice
	// 1.4 ms.
	defaultRoundTrip = 2800 * time.Microsecond
	// bytesWeight is the weight of one response in the average size. bytePrice is the
	// gain in times of work that 1 MiB of a response must bring in addition, and
	// maxBytePrice its bound: bytes break ties and outweigh no real shortage.
	bytesWeight  = 0.05
	bytePrice    = 1.0
	maxBytePrice = 0.2
)

// service is what this VM knows of one service.
type service struct {
	// home is also in sites, under the VM's own data centre.
	home    *site
	sites   map[zlunit.DataCentre]*site
	waiting int
	// bytes is the average size of a response.
	bytes    float64
	lastStep time.Time
	// reported is the share of the last Change, at reportedAt.
	reported   float64
	reportedAt time.Time
}

func (s *service) siteFor(dc zlunit.DataCentre) *site {
	x, ok := s.sites[dc]
	if !ok {
		x = &site{}
		s.sites[dc] = x
	}
	return x
}

// share is the share of requests that leave the data centre.
func (s *service) share() float64 {
	sum := 0.0
	for _, x := range s.sites {
		sum += x.shareWith(0)
	}
	return min(sum, maxShare)
}

func (s *service) preferred() zlunit.DataCentre {
	best := zlunit.DataCentre("")
	share := 0.0
	for dc, x := range s.sites {
		if y := x.shareWith(0); y > share || y == share && share > 0 && dc < best {
			best = dc
			share = y
		}
	}
	return best
}

// work is the time of a request without a queue in the own data centre; where none was
// served there lately, or only late, that of the nearest other one bounds it.
func (s *service) work(c *Controller) float64 {
	work := s.home.usual
	for dc, x := range s.sites {
		if x == s.home || x.usual == 0 {
			continue
		}
		if w := max(x.usual-c.roundTrip(dc), x.usual/2); work == 0 || w < work {
			work = w
		}
	}
	return work
}

// usualAt is the time to a reply of a data centre without a queue.
func (s *service) usualAt(c *Controller, dc zlunit.DataCentre) float64 {
	x := s.siteFor(dc)
	work := s.work(c)
	switch {
	case x == s.home:
		return work
	case x.usual > 0:
		return x.usual
	default:
		return work + c.roundTrip(dc)
	}
}

// roundTrip is in seconds.
func (c *Controller) roundTrip(dc zlunit.DataCentre) float64 {
	if d, ok := c.roundTrips[dc]; ok {
		return d.Seconds()
	}
	return defaultRoundTrip.Seconds()
}

// step changes the shares once stepInterval has passed. The caller holds mu.
func (c *Controller) step(now time.Time, name zlunit.Service, s *service) (Change, bool) {
	if s.lastStep.IsZero() {
		s.lastStep = now
	}
	passed := now.Sub(s.lastStep)
	if passed < stepInterval {
		return Change{}, false
	}
	s.lastStep = now
	work := s.work(c)
	if work <= 0 {
		return Change{}, false
	}
	seconds := min(passed, maxStep).Seconds()
	here := s.home.expected(now, work, work) + waitingCost*work*float64(min(s.waiting, maxWaiting))
	price := min(s.bytes/(1<<20)*bytePrice, maxBytePrice)
	for dc, x := range s.sites {
		if x == s.home {
			continue
		}
		if !x.available {
			x.gain = 0
			x.settled = 0
			continue
		}
		usual := s.usualAt(c, dc)
		there := x.expected(now, usual, work)
		gain := (here-there)/work - price
		x.gain = gain
		_, refusals := x.at(now, usual)
		x.short = (there-usual)/work > shortExcess || refusals > shortRefusals
		x.settled = min(max(x.settled+x.change()*seconds, 0), maxShare)
	}
	return s.report(now, name)
}

// change is the change of the settled share per second.
func (x *site) change() float64 {
	switch {
	case x.short:
		return -maxRate
	case x.gain > beginGain:
		return min(riseRate*(x.gain-beginGain), maxRate)
	case x.gain < keepGain:
		return -min(max(fallRate*(keepGain-x.gain), leakRate), maxRate)
	default:
		return -leakRate
	}
}

// shareWith is the share of the requests that goes to a remote data centre while n
// requests of this VM are in flight at the least busy replica of the own one.
func (x *site) shareWith(n int) float64 {
	if x.short {
		return x.settled
	}
	gain := x.gain
	if gain > 0 {
		gain += inFlightGain * float64(n)
	}
	return x.settled + promptRate*min(max(gain-beginGain, 0), maxPromptGain)
}

// report returns the Change to tell, if there is one.
func (s *service) report(now time.Time, name zlunit.Service) (Change, bool) {
	share := s.share()
	kind := ChangeShare
	switch {
	case !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < changeInterval:
		return Change{}, false
	case s.reported == 0 && share >= beginShare:
		kind = ChangeBegins
	case s.reported > 0 && share < ceaseShare:
		kind = ChangeCeases
		share = 0
	case s.reported == 0 || max(share-s.reported, s.reported-share) < changeShare:
		return Change{}, false
	}
	s.reported = share
	s.reportedAt = now
	return Change{
		Service:   name,
		Kind:      kind,
		Share:     share,
		Preferred: s.preferred(),
	}, true
}
