package token

import (
	"time"

	"github.com/passtray/passtray/internal/outlier"
)

// answerHistory holds statistics on the responses to callers of this daemon: lengths and latencies
// by route, and rates by service.
type answerHistory struct {
	// capacity is the maximum number of routes with statistics.
	capacity  int
	shapes    map[uint32]*answerShape
	latencies map[uint32]*usualLatency
	rates     map[string]*answerRate
	// short are targets whose responses were unusually short.
	short []Unanswered
}

func newAnswerHistory(capacity int) *answerHistory {
	return &answerHistory{
		capacity: capacity,
		shapes:   map[uint32]*answerShape{}, latencies: map[uint32]*usualLatency{},
		rates: map[string]*answerRate{},
	}
}

// note records the beginning of a target's response, up to the caller's first acknowledgement;
// length is in bytes.
func (h *answerHistory) note(now time.Time, target uint64, decision *Decision, length uint32) {
	rate := h.rates[decision.Target.Service]
	if rate == nil {
		rate = &answerRate{}
		h.rates[decision.Target.Service] = rate
	}
	rate.note(now)
	shape := h.shapes[decision.Route.Number]
	if shape == nil {
		if len(h.shapes) >= h.capacity {
			clear(h.shapes) // drops statistics of removed routes; active ones are soon relearned
		}
		shape = &answerShape{}
		h.shapes[decision.Route.Number] = shape
	}
	if shape.note(length) {
		h.short = append(h.short, Unanswered{Target: target, Evidence: outlier.Weak})
	}
}

// noteLatency records the time to first byte of a response on a route and returns its ratio to the
// usual latency, or false while there are too few samples.
func (h *answerHistory) noteLatency(route uint32, latency time.Duration) (times float64, known bool) {
	usual := h.latencies[route]
	if usual == nil {
		if len(h.latencies) >= h.capacity {
			clear(h.latencies)
		}
		usual = &usualLatency{}
		h.latencies[route] = usual
	}
	times, known = usual.times(latency)
	usual.note(latency)
	return times, known
}

// takeShort returns the targets whose responses were much shorter than is usual for their route
// since the last call.
func (h *answerHistory) takeShort() []Unanswered {
	short := h.short
	h.short = nil
	return short
}

// perSecond returns the response rate of a service.
func (h *answerHistory) perSecond(now time.Time, service string) float64 {
	if rate := h.rates[service]; rate != nil {
		return rate.of(now)
	}
	return 0
}
