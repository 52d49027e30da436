package token

import (
	"math"
	"time"
)

const (
	// shortFraction is the fraction of a route's usual response length below which a response is
	// short. Error responses are, on routes that serve long content.
	shortFraction = 1.0 / 3
	// minSamples is the minimum number of samples for a route's usual length or latency.
	minSamples = 32
	// medianStep is the relative step by which one sample moves a median estimate.
	medianStep = 0.05
	// shortShareWindow is the window, in responses, of the moving average of short ones. From a
	// share of maxShortShare on, short responses are normal for the route and not reported.
	shortShareWindow = 256
	maxShortShare    = 0.02
	// rateTimeConstant is the time constant of a service's response rate.
	rateTimeConstant = 3 * time.Second
)

// latencyMedian is a running estimate of the median time to first byte of a route's responses. It
// adapts at the rate of the responses, so that general slowness soon counts as usual.
type latencyMedian struct {
	count  int
	median float64 // nanoseconds
}

func (m *latencyMedian) note(latency time.Duration) {
	m.count++
	switch {
	case m.count == 1:
		m.median = float64(latency)
	case float64(latency) > m.median:
		m.median *= 1 + medianStep
	default:
		m.median /= 1 + medianStep
	}
}

// ratio returns the ratio of a latency to the usual one, or false while there are too few samples.
func (m *latencyMedian) ratio(latency time.Duration) (float64, bool) {
	if m == nil || m.count <= minSamples || m.median <= 0 {
		return 0, false
	}
	return float64(latency) / m.median, true
}

// lengthStats holds statistics on the length of a route's responses, each measured up to the
// caller's first acknowledgement.
type lengthStats struct {
	count int
	// median is an estimate: each sample moves it by the same small factor (Robbins, Monro, "A
	// Stochastic Approximation Method", 1951).
	median float64
	// shortShare is the exponential moving average of the share of short responses.
	shortShare float64
}

// note records a response length and reports whether it is short on a route where short ones are
// rare.
func (s *lengthStats) note(length uint32) bool {
	s.count++
	if s.count == 1 {
		s.median = float64(length)
		return false
	}
	isShort := float64(length) < s.median*shortFraction
	if float64(length) > s.median {
		s.median *= 1 + medianStep
	} else {
		s.median /= 1 + medianStep
	}
	if s.count <= minSamples {
		return false
	}
	hit := 0.0
	if isShort {
		hit = 1
	}
	s.shortShare += (hit - s.shortShare) / shortShareWindow
	return isShort && s.shortShare < maxShortShare
}

// decayingRate is an event rate with exponential decay.
type decayingRate struct {
	perSecond float64
	updatedAt time.Time
}

func (r *decayingRate) note(now time.Time) {
	r.perSecond = r.valueAt(now) + 1/rateTimeConstant.Seconds()
	r.updatedAt = now
}

func (r *decayingRate) valueAt(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.updatedAt).Seconds()/rateTimeConstant.Seconds())
}
