package token

import (
	"time"
)

const (
	// mostAnswered bounds the answers that wait to be taken, and the memory for them.
	mostAnswered = 4096
	// promptLearnedAfter is how many answers a route's usual latency is learned from. What
	// is wrong with it then is wrong for all targets alike.
	promptLearnedAfter = 8
	// leastAtTarget is what an answer takes at its target at least, in nanoseconds.
	leastAtTarget = float64(time.Millisecond)
	// pathRise is by what part the least span of an opening rises with each that is seen:
	// paths change.
	pathRise = 0.005
	// openingLost is from when on an opening that is awaited is given up.
	openingLost = time.Second
)

// promptLatency follows the median of how long answers of a route stay at their targets, in
// nanoseconds, by steps that become smaller: a starting daemon knows it soon.
type promptLatency struct {
	count  int
	median float64
}

func (p *promptLatency) note(span float64) {
	p.count++
	if p.count == 1 {
		p.median = span
		return
	}
	step := max(lengthStep, 1/float64(p.count))
	if span > p.median {
		p.median *= 1 + step
	} else {
		p.median /= 1 + step
	}
}

// pathSpan is how long packets take from here by way of a target to the caller and back
// here: the least time in which a flow was opened, which needs no work of the target. It
// follows one flow at a time.
type pathSpan struct {
	least  time.Duration
	flow   uint64
	sentAt time.Time
}

func (p *pathSpan) noteOpening(now time.Time, flow uint64) {
	if p.sentAt.IsZero() || now.Sub(p.sentAt) >= openingLost {
		p.flow, p.sentAt = flow, now
	}
}

// noteOpen takes in a packet on an open flow.
func (p *pathSpan) noteOpen(now time.Time, flow uint64) {
	if p.sentAt.IsZero() || p.flow != flow {
		return
	}
	span := now.Sub(p.sentAt)
	p.sentAt = time.Time{}
	if span >= openingLost {
		return
	}
	if p.least == 0 || span < p.least {
		p.least = span
		return
	}
	p.least += time.Duration(float64(p.least) * pathRise)
}

// Answered is an answer of a target that tells how fast it works.
type Answered struct {
	// Token is the target's, Times how many times as long as is usual for the route the
	// answer took to begin.
	Token uint32
	Times float64
}

// promptAnswers are the latencies of answers that their callers acknowledged at once. An end
// acknowledges every second packet, so that an answer of one packet is acknowledged with the
// caller's next request, after its pause: that would count as the target's slowness. One
// goroutine at a time may use it.
type promptAnswers struct {
	// capacity bounds the routes whose usual latency is remembered.
	capacity int
	usual    map[uint32]*promptLatency
	path     pathSpan
	taken    []Answered
}

func newPromptAnswers(capacity int) *promptAnswers {
	return &promptAnswers{capacity: capacity, usual: map[uint32]*promptLatency{}}
}

// note takes in an answer that began, by the packet that says so. What was sent again tells
// of the path, and a cold target is not as fast as it will be: both are passed over.
func (p *promptAnswers) note(now time.Time, answered *request, decision *Decision, packet *Packet, latency time.Duration) {
	if answered.isRepeated || packet.PayloadLength > 0 || now.Before(decision.Target.WarmAt) {
		return
	}
	usual := p.usual[decision.Route.Number]
	if usual == nil {
		if len(p.usual) >= p.capacity {
			clear(p.usual)
		}
		usual = &promptLatency{}
		p.usual[decision.Route.Number] = usual
	}
	atTarget := max(float64(latency-p.path.least), leastAtTarget)
	if usual.count >= promptLearnedAfter && len(p.taken) < mostAnswered {
		p.taken = append(p.taken, Answered{Token: answered.token, Times: atTarget / usual.median})
	}
	usual.note(atTarget)
}

// TakeAnswered returns the answers since the last call that tell how fast targets work.
func (r *Requests) TakeAnswered() []Answered {
	taken := r.prompt.taken
	r.prompt.taken = nil
	return taken
}
