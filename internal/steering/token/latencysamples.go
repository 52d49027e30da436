package token

import (
	"time"
)

const (
	// maxLatencySamples is the maximum number of samples kept between two calls of TakeLatencySamples.
	maxLatencySamples = 4096
	// minServiceTimeSamples is the minimum number of samples for a route's usual service time. An
	// error in that estimate affects all targets alike.
	minServiceTimeSamples = 8
	// minServiceTime is the minimum service time at a target, in nanoseconds.
	minServiceTime = float64(time.Millisecond)
	// roundTripDrift is the fraction by which the minimum round trip grows with each sample, so
	// that it adapts to path changes.
	roundTripDrift = 0.005
	// openingTimeout is how long to wait for the reply to a first packet before it counts as lost.
	openingTimeout = time.Second
)

// serviceTimeMedian is a running estimate of the median service time of a route's responses, in
// nanoseconds. Its steps shrink with the number of samples, so that it converges soon after a
// start.
type serviceTimeMedian struct {
	count  int
	median float64
}

func (m *serviceTimeMedian) note(serviceTime float64) {
	m.count++
	if m.count == 1 {
		m.median = serviceTime
		return
	}
	step := max(medianStep, 1/float64(m.count))
	if serviceTime > m.median {
		m.median *= 1 + step
	} else {
		m.median /= 1 + step
	}
}

// pathRoundTrip estimates the round trip from this daemon by way of a target and the caller back
// to this daemon: the minimum time to open a flow, which takes no work of the target. It samples
// one flow at a time.
type pathRoundTrip struct {
	minimum time.Duration
	flow    uint64
	sentAt  time.Time
}

func (p *pathRoundTrip) noteOpening(now time.Time, flow uint64) {
	if p.sentAt.IsZero() || now.Sub(p.sentAt) >= openingTimeout {
		p.flow, p.sentAt = flow, now
	}
}

// noteEstablished records a packet on an open flow.
func (p *pathRoundTrip) noteEstablished(now time.Time, flow uint64) {
	if p.sentAt.IsZero() || p.flow != flow {
		return
	}
	roundTrip := now.Sub(p.sentAt)
	p.sentAt = time.Time{}
	if roundTrip >= openingTimeout {
		return
	}
	if p.minimum == 0 || roundTrip < p.minimum {
		p.minimum = roundTrip
		return
	}
	p.minimum += time.Duration(float64(p.minimum) * roundTripDrift)
}

// LatencySample is a response latency sample of a target.
type LatencySample struct {
	// Token is the target's. Ratio is the ratio of the service time to the usual one of the route.
	Token uint32
	Ratio float64
}

// promptResponses collects latencies of responses that were acknowledged at once. With delayed
// acknowledgements (every second packet), a response of one packet is acknowledged with the
// caller's next request, and the caller's pause would count as the target's latency. It is not
// safe for concurrent use.
type promptResponses struct {
	// capacity is the maximum number of routes with a usual service time.
	capacity int
	usual    map[uint32]*serviceTimeMedian
	path     pathRoundTrip
	samples  []LatencySample
}

func newPromptResponses(capacity int) *promptResponses {
	return &promptResponses{capacity: capacity, usual: map[uint32]*serviceTimeMedian{}}
}

// note records a response, given the packet that acknowledges its beginning. Retransmitted
// requests are skipped since they also reflect the path, and targets in slow start since they
// aren't at their usual speed yet.
func (p *promptResponses) note(now time.Time, req *request, decision *Decision, packet *Packet, latency time.Duration) {
	if req.isRetransmitted || packet.PayloadLength > 0 || now.Before(decision.Target.WarmAt) {
		return
	}
	usual := p.usual[decision.Route.Number]
	if usual == nil {
		if len(p.usual) >= p.capacity {
			clear(p.usual)
		}
		usual = &serviceTimeMedian{}
		p.usual[decision.Route.Number] = usual
	}
	serviceTime := max(float64(latency-p.path.minimum), minServiceTime)
	if usual.count >= minServiceTimeSamples && len(p.samples) < maxLatencySamples {
		p.samples = append(p.samples, LatencySample{Token: req.token, Ratio: serviceTime / usual.median})
	}
	usual.note(serviceTime)
}

// TakeLatencySamples returns the response latency samples since the last call.
func (r *Requests) TakeLatencySamples() []LatencySample {
	samples := r.prompt.samples
	r.prompt.samples = nil
	return samples
}
