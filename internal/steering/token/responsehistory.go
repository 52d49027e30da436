package token

import (
	"time"

	"github.com/passtray/passtray/internal/outlier"
)

// responseHistory holds statistics on the responses to callers of this daemon: lengths and
// latencies by route, and rates by service.
type responseHistory struct {
	// capacity is the maximum number of routes with statistics.
	capacity  int
	lengths   map[uint32]*lengthStats
	latencies map[uint32]*latencyMedian
	rates     map[string]*decayingRate
	// short are targets whose responses were unusually short.
	short []FailureEvidence
}

func newResponseHistory(capacity int) *responseHistory {
	return &responseHistory{
		capacity: capacity,
		lengths:  map[uint32]*lengthStats{}, latencies: map[uint32]*latencyMedian{},
		rates: map[string]*decayingRate{},
	}
}

// note records the beginning of a target's response, up to the caller's first acknowledgement;
// length is in bytes.
func (h *responseHistory) note(now time.Time, target uint64, decision *Decision, length uint32) {
	rate := h.rates[decision.Target.Service]
	if rate == nil {
		rate = &decayingRate{}
		h.rates[decision.Target.Service] = rate
	}
	rate.note(now)
	stats := h.lengths[decision.Route.Number]
	if stats == nil {
		if len(h.lengths) >= h.capacity {
			clear(h.lengths) // drops statistics of removed routes; active ones are soon relearned
		}
		stats = &lengthStats{}
		h.lengths[decision.Route.Number] = stats
	}
	if stats.note(length) {
		h.short = append(h.short, FailureEvidence{Target: target, Evidence: outlier.Weak})
	}
}

// noteLatency records the time to first byte of a response on a route and returns its ratio to the
// usual latency, or false while there are too few samples.
func (h *responseHistory) noteLatency(route uint32, latency time.Duration) (ratio float64, known bool) {
	usual := h.latencies[route]
	if usual == nil {
		if len(h.latencies) >= h.capacity {
			clear(h.latencies)
		}
		usual = &latencyMedian{}
		h.latencies[route] = usual
	}
	ratio, known = usual.ratio(latency)
	usual.note(latency)
	return ratio, known
}

// takeShort returns the targets whose responses were much shorter than is usual for their route
// since the last call.
func (h *responseHistory) takeShort() []FailureEvidence {
	short := h.short
	h.short = nil
	return short
}

// perSecond returns the response rate of a service.
func (h *responseHistory) perSecond(now time.Time, service string) float64 {
	if rate := h.rates[service]; rate != nil {
		return rate.valueAt(now)
	}
	return 0
}
