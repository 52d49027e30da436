package token

import (
	"time"

	"github.com/passtray/passtray/internal/outlier"
)

// answerHistory is what is known of the answers to callers of this daemon: their lengths
// and latencies by route, and their rate by service.
type answerHistory struct {
	// capacity bounds the routes that are remembered.
	capacity  int
	shapes    map[uint32]*answerShape
	latencies map[uint32]*usualLatency
	rates     map[string]*answerRate
	// short are targets whose answers were conspicuously short.
	short []Unanswered
}

func newAnswerHistory(capacity int) *answerHistory {
	return &answerHistory{
		capacity: capacity,
		shapes:   map[uint32]*answerShape{}, latencies: map[uint32]*usualLatency{},
		rates: map[string]*answerRate{},
	}
}

// note takes in the beginning of a target's answer, as far as the caller has
// acknowledged it, in bytes.
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
			clear(h.shapes) // routes come and go; what still answers is learned again
		}
		shape = &answerShape{}
		h.shapes[decision.Route.Number] = shape
	}
	if shape.note(length) {
		h.short = append(h.short, Unanswered{Target: target, Evidence: outlier.Weak})
	}
}

// noteLatency takes in how long a route's answer took to begin, and returns how many times
// as long as usual that is; it reports false while too few answers were seen.
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

// takeShort returns the targets whose answers were much shorter than is usual for their
// route since the last call.
func (h *answerHistory) takeShort() []Unanswered {
	short := h.short
	h.short = nil
	return short
}

// perSecond returns the rate of a service's answers.
func (h *answerHistory) perSecond(now time.Time, service string) float64 {
	if rate := h.rates[service]; rate != nil {
		return rate.of(now)
	}
	return 0
}
