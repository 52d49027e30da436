package token

import (
	"time"
)

const (
	// mostAnswered is the maximum number of samples kept between two calls of TakeAnswered.
	mostAnswered = 4096
	// promptLearnedAfter is the minimum number of samples for a route's usual service time. An
	// error in it affects all targets alike.
	promptLearnedAfter = 8
	// leastAtTarget is the minimum service time at a target, in nanoseconds.
	leastAtTarget = float64(time.Millisecond)
	// pathRise is the fraction by which the minimum round trip grows with each sample, so that it
	// adapts to path changes.
	pathRise = 0.005
	// openingLost is how long to wait for the reply to a first packet before it counts as lost.
	openingLost = time.Second
)

// promptLatency is a running estimate of the median service time of a route's responses, in
// nanoseconds. Its steps shrink with the number of samples, so that it converges soon after a
// start.
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

// pathSpan estimates the round trip from this daemon by way of a target and the caller back to
// this daemon: the minimum time to open a flow, which takes no work of the target. It samples one
// flow at a time.
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

// noteOpen records a packet on an open flow.
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

// Answered is a response latency sample of a target.
type Answered struct {
	// Token is the target's. Times is the ratio of the service time to the usual one of the route.
	Token uint32
	Times float64
}

// promptAnswers collects latencies of responses that were acknowledged at once. With delayed
// acknowledgements (every second packet), a response of one packet is acknowledged with the
// caller's next request, and the caller's pause would count as the target's latency. It is not
// safe for concurrent use.
type promptAnswers struct {
	// capacity is the maximum number of routes with a usual service time.
	capacity int
	usual    map[uint32]*promptLatency
	path     pathSpan
	taken    []Answered
}

func newPromptAnswers(capacity int) *promptAnswers {
	return &promptAnswers{capacity: capacity, usual: map[uint32]*promptLatency{}}
}

// note records a response, given the packet that acknowledges its beginning. Retransmitted
// requests are skipped since they also reflect the path, and targets in slow start since they
// aren't at their usual speed yet.
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

// TakeAnswered returns the response latency samples since the last call.
func (r *Requests) TakeAnswered() []Answered {
	taken := r.prompt.taken
	r.prompt.taken = nil
	return taken
}
