// Package overload is an adaptive concurrency limiter with priorities. A Controller limits one
// daemon's requests in progress at one service, where a request runs from the caller's data, or the
// first packet of its flow, to the first byte of the answer. The limit adapts to the share of
// rejections among the targets' answers, which is the same at all daemons, so that they need no
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

// mostPreferredPriority is the lowest route priority, 0 being the highest, that is preferred.
const mostPreferredPriority = 1

// RankOf returns the rank of a route priority.
func RankOf(priority int) Rank {
	if priority <= mostPreferredPriority {
		return Preferred
	}
	return Ordinary
}

// Config configures the limiter of a service.
type Config struct {
	Enabled bool
	// PerSlot is the number of requests in progress per target slot that all daemons together
	// always admit. It should be above 1 to keep slots busy while answers are in transit; if it is
	// too high, targets reject requests before the limit takes effect.
	PerSlot float64
	// Rejected is the share of rejections among answers at which the limit is stable. If it is too
	// low, targets idle between requests; if too high, callers wait for targets only to be
	// rejected.
	Rejected float64
}

func DefaultConfig() Config { return Config{Enabled: true, PerSlot: 2, Rejected: 0.15} }

const (
	// gain is the relative step of the limit per rejection. At 0.1 about ten rejections halve it,
	// at a rate of some tens of answers per second in a large fleet.
	gain = 0.1
	// evidenceMemory is the decay time of the evidence of overload while there is no limit,
	// evidenceLeast the evidence that activates the limit, as a few short answers may be regular
	// ones.
	evidenceMemory = time.Second
	evidenceLeast  = 5
	// calm is how long the limit outlasts the last rejection and the last time it took effect. It
	// is longer than the retry delay of rejected callers. Rejections below Config.Rejected do not
	// prolong a limit that has no effect.
	calm = 3 * time.Second
	// felt is how long after a request was queued or rejected the limit may grow: a limit that has
	// no effect must not grow.
	felt = 200 * time.Millisecond
	// preferredExcess is the multiple of the limit that preferred requests may use, since callers
	// are spread randomly over daemons.
	preferredExcess = 3
	// openingLife is the decay time of new flows in the count of requests in progress, until their
	// data is seen: a round trip between caller and target, with some slack.
	openingLife = 150 * time.Millisecond
	// floorInterval is how often an ordinary flow is admitted regardless of the limit, to prevent
	// starvation by preferred requests.
	floorInterval = time.Second
	// leastBound lets a daemon of a large fleet serve one request at a time.
	leastBound = 1
)

// Controller limits one daemon's requests in progress at one service. It is not safe for concurrent
// use. A nil Controller limits nothing.
type Controller struct {
	config Config
	// share is this daemon's fair share of the targets' capacity, 0 if unknown.
	share float64
	// bound is valid while isBound. Bound returns at least share; the clamping is not stored, so
	// that a momentarily wrong share has no lasting effect.
	bound   float64
	isBound bool

	// rejected is the share of rejections among recent answers, an EWMA over fastMemory answers.
	rejected float64

	evidence   float64
	evidenceAt time.Time
	begunAt    time.Time // when the limit was activated
	rejectedAt time.Time
	feltAt     time.Time
	floorAt    time.Time

	waiting   [rankCount]int
	opening   [rankCount]float64
	openingAt [rankCount]time.Time

	lengths map[uint32]*lengths
}

func New(config Config) *Controller {
	return &Controller{config: config, lengths: map[uint32]*lengths{}}
}

// SetShare sets the number of slots of the service's live targets and of the daemons that share
// them. If either is 0, it is unknown and there is no limit.
func (c *Controller) SetShare(slots, daemons int) {
	c.share = 0
	if daemons > 0 && slots > 0 {
		c.share = max(leastBound, c.config.PerSlot*float64(slots)/float64(daemons))
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
	age := float64(now.Sub(c.openingAt[rank])) / float64(openingLife)
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

// Bound returns the concurrency limit, or false if there is none.
func (c *Controller) Bound(now time.Time) (float64, bool) {
	if c == nil || !c.isBound || c.share == 0 || !c.config.Enabled {
		return 0, false
	}
	if c.expire(now); !c.isBound {
		return 0, false
	}
	return max(c.bound, c.share), true
}

// expire deactivates a limit that was active for calm but had no effect in that time, once there
// were no rejections for calm or their share is below Config.Rejected.
func (c *Controller) expire(now time.Time) {
	isFew := now.Sub(c.rejectedAt) >= calm || c.rejected < c.config.Rejected
	if isFew && now.Sub(c.feltAt) >= calm && now.Sub(c.begunAt) >= calm {
		c.isBound = false
	}
}

// Admit reports whether a request of a rank may proceed now. Preferred requests compete only with
// each other; ordinary ones use what they leave.
func (c *Controller) Admit(now time.Time, rank Rank) bool {
	bound, isBound := c.Bound(now)
	if !isBound {
		return true
	}
	inProgress := c.InProgress(now, Preferred)
	if rank == Ordinary {
		inProgress += c.InProgress(now, Ordinary)
	} else {
		bound *= preferredExcess
	}
	if inProgress+1 <= bound+roundingSlack {
		return true
	}
	c.feltAt = now
	return false
}

// AdmitFlow reports whether a new flow of a rank may proceed now. One ordinary flow per
// floorInterval is admitted regardless of the limit.
func (c *Controller) AdmitFlow(now time.Time, rank Rank) bool {
	if c.Admit(now, rank) {
		return true
	}
	if rank != Ordinary || now.Sub(c.floorAt) < floorInterval {
		return false
	}
	c.floorAt = now
	return true
}

// roundingSlack admits the last whole unit of a limit although counted new flows decay only
// gradually.
const roundingSlack = 0.5

// NoteAnswer handles the length, in bytes, of the beginning of a route's answer and reports whether
// the target rejected the request.
func (c *Controller) NoteAnswer(now time.Time, route uint32, length uint32) (isRejection bool) {
	if c == nil || !c.config.Enabled {
		return false
	}
	c.expire(now)
	memory := float64(usualMemory)
	if c.isBound {
		memory = boundedMemory
	}
	excess, isRejection := c.lengthsOf(route).note(length, memory)
	if !c.isBound {
		c.noteEvidence(now, excess)
	}
	if isRejection {
		c.rejected += (1 - c.rejected) / fastMemory
		c.noteRejection(now)
		return true
	}
	c.rejected -= c.rejected / fastMemory
	if c.isBound && now.Sub(c.feltAt) < felt {
		c.bound *= 1 + gain*c.config.Rejected
	}
	return false
}

// noteRejection lowers the limit, or activates it once there is enough evidence of overload.
func (c *Controller) noteRejection(now time.Time) {
	c.rejectedAt = now
	if c.isBound {
		c.bound = min(c.bound, max(c.share, c.bound*(1-gain*(1-c.config.Rejected))))
		return
	}
	if c.evidence < evidenceLeast {
		return
	}
	c.evidence = 0
	c.isBound = true
	c.begunAt = now
	c.bound = max(c.share, c.InProgress(now, Preferred)+c.InProgress(now, Ordinary))
}

// noteEvidence accumulates the excess of short answers over the baseline while there is no limit,
// as a decaying cumulative sum (CUSUM: Page, "Continuous Inspection Schemes", 1954). Short answers
// from before the route's share exceeds its threshold are part of the evidence.
func (c *Controller) noteEvidence(now time.Time, excess float64) {
	faded := c.evidence * math.Exp(-float64(now.Sub(c.evidenceAt))/float64(evidenceMemory))
	c.evidence = max(0, faded+excess)
	c.evidenceAt = now
}
