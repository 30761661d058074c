package zlsharedrate

import "time"

const (
	// answerTime is how long a VM waits for a keeper's answer before it asks the next:
	// several round trips within a data centre, and what a keeper needs to borrow.
	answerTime = 30 * time.Millisecond
	// collectTime is how long a keeper waits for shares before it does without them:
	// some round trips within a data centre.
	collectTime = 6 * time.Millisecond
	// borrowTime is how long a keeper waits for other keepers: a round trip between data
	// centres of up to 6 ms and their collectTime.
	borrowTime = 14 * time.Millisecond
	// batchTime is the expected use that a batch of tokens covers, and maxTokenLife how long
	// after the question its tokens are valid at most. Tokens that wait at VMs add to what
	// is sent in a window: 500 ms are a tenth of one of 5 s.
	batchTime    = 200 * time.Millisecond
	maxTokenLife = 500 * time.Millisecond
	minTokenLife = 50 * time.Millisecond
	// demandTime is the time over which a VM averages its requests.
	demandTime = time.Second
	// collectPeriod is the time between rounds of a keeper, or collectPeriodPerVM for
	// each VM of its data centre if that is longer: rounds are most of the traffic.
	collectPeriod      = 2000 * time.Millisecond
	collectPeriodPerVM = 40 * time.Millisecond
	// earlyPeriods is the part of that time after which a key that is short of tokens is
	// collected early, since VMs may have kept shares that they don't use any more.
	earlyPeriods = 3
	// leaseQuarters is the length of a delegation in quarters of the time between rounds. A
	// lost datagram costs one VM's share for half a period; longer delegations would cost
	// more when a keeper is lost.
	leaseQuarters = 6
	// maxCollectPeriod and maxLease bound both, for more VMs than are supported.
	maxCollectPeriod = 12 * time.Second
	maxLease         = maxCollectPeriod * leaseQuarters / 4
	// clockMargin lengthens a delegation at the VM that gave it, as a share: the clocks of
	// two VMs differ in rate by less.
	clockMargin = 0.01
	// minActiveTime and maxActiveTime bound how long a keeper collects after the last
	// question; in between it collects until its bucket is full.
	minActiveTime = 5 * time.Second
	maxActiveTime = time.Minute
	// pauseTime is the gap between two steps that shows that the process was paused.
	pauseTime = time.Second
	// longPause is a pause after which the VM may not be counted any more: a third of the
	// time after which zlvmcount drops an entry.
	longPause = time.Minute
	// maxCandidates is how many VMs of a data centre may act as the keeper of a key. At
	// most maxTries are asked for one request.
	maxCandidates = 5
	maxTries      = 2
	// maxRanked bounds the orders that are remembered, of 100 bytes each.
	maxRanked = 16384
	// sweepPeriod is the time between steps for the keys without waiting requests.
	sweepPeriod = 100 * time.Millisecond
	// silentMisses is the number of unanswered questions in a row after which a VM is not
	// asked for silentTime.
	silentMisses = 2
	silentTime   = time.Second
	// slackShare is the part of the deployment's slack that buckets hold besides the
	// burst, since they are many and requests are whole. With 10 tokens Poisson arrivals
	// of 0.62 of a limit of 0.5/s find no token once in 16,000 requests, with 5 once in 190.
	slackShare = 0.5
	// keptTokens is the size of a VM's own bucket from which it keeps the part of its
	// share that it uses, and keptFactor how much more than it uses.
	keptTokens = 2
	keptFactor = 1.5
	// fractionUse is the chance of a request for each token of an own bucket that can hold
	// no whole one: chance lets more VMs than expected grant at the same time.
	fractionUse = 0.8
	// minDenyTime and maxDenyTime bound how long a VM denies by itself after a denial, and
	// how long a keeper does not borrow again: callers over a limit cost no message each.
	minDenyTime = 100 * time.Millisecond
	maxDenyTime = 500 * time.Millisecond
	// maxRetryAfter bounds the advice to callers: the window of the limit.
	maxRetryAfter = 5 * time.Second
	// retryJitter is the greatest random addition to the advice, as a share of it.
	retryJitter = 0.1
	// maxKeysPerMessage keeps a message with 16 bytes for each key below 1,200 bytes.
	maxKeysPerMessage = 60
)
