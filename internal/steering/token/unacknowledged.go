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

// mostUnacknowledged is the maximum number of entries kept between two calls of
// TakeUnacknowledged. A few suffice to declare a target dead.
const mostUnacknowledged = 1024

// noteData records further data of a request. New data some time after the first shows that the
// target acknowledges; a retransmission shows that it did not.
func (r *Requests) noteData(now time.Time, flow uint64, held *request, packet *Packet) {
	sentBefore := held.lastSent
	held.lastSent = now
	if isAfter(packet.Sequence, held.sequence) {
		held.sequence = packet.Sequence
		held.lastData = now
		if now.Sub(held.begunAt) >= repeatedAfter {
			held.signal.NoteLife(now)
		}
		return
	}
	held.isRepeated = held.isRepeated || now.Sub(held.lastData) >= repeatedAfter
	if now.Sub(sentBefore) >= repeatedAfter && len(r.unacknowledged) < mostUnacknowledged {
		r.unacknowledged = append(r.unacknowledged, Unacknowledged{Target: held.target, Flow: flow, Since: sentBefore})
	}
}

// TakeUnacknowledged returns the data that callers retransmitted since the last call.
func (r *Requests) TakeUnacknowledged() []Unacknowledged {
	unacknowledged := r.unacknowledged
	r.unacknowledged = nil
	return unacknowledged
}

// TakeWaiting ends the pending requests of dead targets and returns for each the packet head to
// answer with a reset.
func (r *Requests) TakeWaiting(isDead func(target uint64) bool) []Packet {
	var keys []requestKey
	for key, held := range r.waiting {
		if isDead(held.target) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b requestKey) int { // deterministic order for seeded simulations
		return cmp.Or(a.caller.Compare(b.caller), cmp.Compare(a.route, b.route))
	})
	packets := make([]Packet, 0, len(keys))
	for _, key := range keys {
		held := r.waiting[key]
		r.end(key)
		head := Packet{Source: key.caller, Destination: held.destination, Token: held.token, Acknowledgement: held.acknowledgement}
		r.open.remove(hashOf(&head))
		packets = append(packets, head)
	}
	return packets
}

// isAfter compares sequence numbers in serial number arithmetic (RFC 1982).
func isAfter(one, other uint32) bool { return int32(one-other) > 0 }
