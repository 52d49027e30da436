// Package overload is an adaptive concurrency limiter with priorities. A Controller limits one
// daemon's requests in progress at one service, where a request runs from the caller's data, or the
// first packet of its flow, to the first byte of the response. The limit adapts to the share of
// rejections among the targets' responses, which is the same at all daemons, so that they need no
// coordination; it is never below the daemon's fair share of the targets' slots. While targets
// reject nothing there is no limit. The package does no I/O and reads no clock.
package overload

import (
	"math"
	"time"
)

// Rank is the priority class of a request or flow.
type Rank uint8

const (
	// Preferred requests take precedence over ordinary ones.
	Preferred Rank = iota
	Ordinary

	rankCount
)

// lowestPreferredPriority is the lowest route priority, 0 being the highest, that is preferred.
const lowestPreferredPriority = 1

// RankOf returns the rank of a route priority.
func RankOf(priority int) Rank {
	if priority <= lowestPreferredPriority {
		return Preferred
	}
	return Ordinary
}

// Config configures the limiter of a service.
type Config struct {
	Enabled bool
	// PerSlot is the number of requests in progress per target slot that all daemons together
	// always admit. It should be above 1 to keep slots busy while responses are in transit; if it is
	// too high, targets reject requests before the limit takes effect.
	PerSlot float64
	// Rejected is the share of rejections among responses at which the limit is stable. If it is too
	// low, targets idle between requests; if too high, callers wait for targets only to be
	// rejected.
	Rejected float64
}

func DefaultConfig() Config { return Config{Enabled: true, PerSlot: 2, Rejected: 0.15} }

const (
	// limitStep is the relative step of the limit per rejection; eight rejections about halve it.
	limitStep = 0.1
	// evidenceDecay is the decay time of the evidence of overload while there is no limit,
	// minEvidence the evidence that activates the limit, as a few short responses may be regular
	// ones.
	evidenceDecay = time.Second
	minEvidence   = 5
	// limitExpiry is how long the limit outlasts the last rejection and the last time it took
	// effect. It is longer than the retry delay of rejected callers. Rejections below
	// Config.Rejected do not prolong a limit that has no effect.
	limitExpiry = 3 * time.Second
	// growthWindow is how long after a request was queued or rejected the limit may grow: a limit
	// that has no effect must not grow.
	growthWindow = 200 * time.Millisecond
	// preferredFactor is the multiple of the limit that preferred requests may use, since callers
	// are spread randomly over daemons.
	preferredFactor = 3
	// openingDecay is the decay time of new flows in the count of requests in progress, until their
	// data is seen: a round trip between caller and target, with some slack.
	openingDecay = 150 * time.Millisecond
	// starvationInterval is how often an ordinary flow is admitted regardless of the limit, to
	// prevent starvation by preferred requests.
	starvationInterval = time.Second
	// minLimit lets a daemon of a large fleet serve one request at a time.
	minLimit = 1
)

// Controller limits one daemon's requests in progress at one service. It is not safe for concurrent
// use. A nil Controller limits nothing.
type Controller struct {
	config Config
	// fairShare is this daemon's fair share of the targets' capacity, 0 if unknown.
	fairShare float64
	// limit is valid while isLimited. Limit returns at least fairShare; the clamping is not stored,
	// so that a momentarily wrong share has no lasting effect.
	limit     float64
	isLimited bool

	// rejectionShare is the share of rejections among recent responses, an EWMA over currentWindow
	// responses.
	rejectionShare float64

	evidence          float64
	evidenceAt        time.Time
	limitedAt         time.Time // when the limit was activated
	rejectedAt        time.Time
	effectiveAt       time.Time
	starvationAdmitAt time.Time

	waiting   [rankCount]int
	opening   [rankCount]float64
	openingAt [rankCount]time.Time

	responseLengths map[uint32]*responseLengths
}

func New(config Config) *Controller {
	return &Controller{config: config, responseLengths: map[uint32]*responseLengths{}}
}

// SetShare sets the number of slots of the service's live targets and of the daemons that share
// them. If either is 0, it is unknown and there is no limit.
func (c *Controller) SetShare(slots, daemons int) {
	c.fairShare = 0
	if daemons > 0 && slots > 0 {
		c.fairShare = max(minLimit, c.config.PerSlot*float64(slots)/float64(daemons))
	}
}

// Opened counts a new flow to a target.
func (c *Controller) Opened(now time.Time, rank Rank) {
	if c == nil {
		return
	}
	c.opening[rank] = c.openings(now, rank) + 1
	c.openingAt[rank] = now
}

// Established stops counting a new flow, whose requests are counted by Begin from now on.
func (c *Controller) Established(now time.Time, rank Rank) {
	if c == nil {
		return
	}
	c.opening[rank] = max(0, c.openings(now, rank)-1)
	c.openingAt[rank] = now
}

func (c *Controller) openings(now time.Time, rank Rank) float64 {
	age := float64(now.Sub(c.openingAt[rank])) / float64(openingDecay)
	return c.opening[rank] * math.Exp(-max(age, 0))
}

// Begin counts a request that waits for a target; End must be called when it no longer does.
func (c *Controller) Begin(rank Rank) {
	if c != nil {
		c.waiting[rank]++
	}
}

// End ends what Begin counted.
func (c *Controller) End(rank Rank) {
	if c != nil {
		c.waiting[rank]--
	}
}

// InProgress returns the number of requests of a rank in progress, including new flows.
func (c *Controller) InProgress(now time.Time, rank Rank) float64 {
	return float64(c.waiting[rank]) + c.openings(now, rank)
}

// Limit returns the concurrency limit, or false if there is none.
func (c *Controller) Limit(now time.Time) (float64, bool) {
	if c == nil || !c.isLimited || c.fairShare == 0 || !c.config.Enabled {
		return 0, false
	}
	if c.expire(now); !c.isLimited {
		return 0, false
	}
	return max(c.limit, c.fairShare), true
}

// expire deactivates a limit that was active for limitExpiry but had no effect in that time, once
// there were no rejections for limitExpiry or their share is below Config.Rejected.
func (c *Controller) expire(now time.Time) {
	isFew := now.Sub(c.rejectedAt) >= limitExpiry || c.rejectionShare < c.config.Rejected
	if isFew && now.Sub(c.effectiveAt) >= limitExpiry && now.Sub(c.limitedAt) >= limitExpiry {
		c.isLimited = false
	}
}

// Admit reports whether a request of a rank may proceed now. Preferred requests compete only with
// each other; ordinary ones use what they leave.
func (c *Controller) Admit(now time.Time, rank Rank) bool {
	limit, isLimited := c.Limit(now)
	if !isLimited {
		return true
	}
	inProgress := c.InProgress(now, Preferred)
	if rank == Ordinary {
		inProgress += c.InProgress(now, Ordinary)
	} else {
		limit *= preferredFactor
	}
	if inProgress+1 <= limit+roundingSlack {
		return true
	}
	c.effectiveAt = now
	return false
}

// AdmitFlow reports whether a new flow of a rank may proceed now. One ordinary flow per
// starvationInterval is admitted regardless of the limit.
func (c *Controller) AdmitFlow(now time.Time, rank Rank) bool {
	if c.Admit(now, rank) {
		return true
	}
	if rank != Ordinary || now.Sub(c.starvationAdmitAt) < starvationInterval {
		return false
	}
	c.starvationAdmitAt = now
	return true
}

// roundingSlack admits the last whole unit of a limit although counted new flows decay only
// gradually.
const roundingSlack = 0.5

// RecordResponse handles the length, in bytes, of the beginning of a route's response and reports
// whether the target rejected the request.
func (c *Controller) RecordResponse(now time.Time, route uint32, length uint32) (isRejection bool) {
	if c == nil || !c.config.Enabled {
		return false
	}
	c.expire(now)
	window := float64(baselineWindow)
	if c.isLimited {
		window = limitedBaselineWindow
	}
	excess, isRejection := c.responseLengthsOf(route).observe(length, window)
	if !c.isLimited {
		c.addEvidence(now, excess)
	}
	if isRejection {
		c.rejectionShare += (1 - c.rejectionShare) / currentWindow
		c.handleRejection(now)
		return true
	}
	c.rejectionShare -= c.rejectionShare / currentWindow
	if c.isLimited && now.Sub(c.effectiveAt) < growthWindow {
		c.limit *= 1 + limitStep*c.config.Rejected
	}
	return false
}

// handleRejection lowers the limit, or activates it once there is enough evidence of overload.
func (c *Controller) handleRejection(now time.Time) {
	c.rejectedAt = now
	if c.isLimited {
		c.limit = min(c.limit, max(c.fairShare, c.limit*(1-limitStep*(1-c.config.Rejected))))
		return
	}
	if c.evidence < minEvidence {
		return
	}
	c.evidence = 0
	c.isLimited = true
	c.limitedAt = now
	c.limit = max(c.fairShare, c.InProgress(now, Preferred)+c.InProgress(now, Ordinary))
}

// addEvidence accumulates the excess of short responses over the baseline while there is no limit,
// as a decaying cumulative sum (CUSUM: Page, "Continuous Inspection Schemes", 1954). Short responses
// from before the route's share exceeds its threshold are part of the evidence.
func (c *Controller) addEvidence(now time.Time, excess float64) {
	faded := c.evidence * math.Exp(-float64(now.Sub(c.evidenceAt))/float64(evidenceDecay))
	c.evidence = max(0, faded+excess)
	c.evidenceAt = now
}
