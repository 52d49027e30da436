package token

import (
	"cmp"
	"slices"
	"time"
)

// Unacknowledged is data that a caller retransmitted on an open flow: its target has not
// acknowledged it since Since.
type Unacknowledged struct {
	Target uint64
	// Flow is the flow's hash.
	Flow  uint64
	Since time.Time
}

// maxUnacknowledged is the maximum number of entries kept between two calls of TakeUnacknowledged.
// A few suffice to declare a target dead.
const maxUnacknowledged = 1024

// noteData records further data of a request. New data some time after the first shows that the
// target acknowledges; a retransmission shows that it did not.
func (r *Requests) noteData(now time.Time, flow uint64, req *request, packet *Packet) {
	previouslySent := req.lastSent
	req.lastSent = now
	if isAfter(packet.Sequence, req.sequence) {
		req.sequence = packet.Sequence
		req.lastData = now
		if now.Sub(req.startedAt) >= minRetransmitDelay {
			req.signal.RecordActivity(now)
		}
		return
	}
	req.isRetransmitted = req.isRetransmitted || now.Sub(req.lastData) >= minRetransmitDelay
	if now.Sub(previouslySent) >= minRetransmitDelay && len(r.unacknowledged) < maxUnacknowledged {
		r.unacknowledged = append(r.unacknowledged, Unacknowledged{Target: req.target, Flow: flow, Since: previouslySent})
	}
}

// TakeUnacknowledged returns the data that callers retransmitted since the last call.
func (r *Requests) TakeUnacknowledged() []Unacknowledged {
	unacknowledged := r.unacknowledged
	r.unacknowledged = nil
	return unacknowledged
}

// TakePending ends the pending requests of dead targets and returns for each the packet header
// to answer with a reset.
func (r *Requests) TakePending(isDead func(target uint64) bool) []Packet {
	var keys []requestKey
	for key, req := range r.pending {
		if isDead(req.target) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b requestKey) int { // deterministic order for seeded simulations
		return cmp.Or(a.caller.Compare(b.caller), cmp.Compare(a.route, b.route))
	})
	packets := make([]Packet, 0, len(keys))
	for _, key := range keys {
		req := r.pending[key]
		r.end(key)
		header := Packet{Source: key.caller, Destination: req.destination, Token: req.token, Acknowledgement: req.acknowledgement}
		r.flows.remove(flowHash(&header))
		packets = append(packets, header)
	}
	return packets
}

// isAfter compares sequence numbers in serial number arithmetic (RFC 1982).
func isAfter(a, b uint32) bool { return int32(a-b) > 0 }
