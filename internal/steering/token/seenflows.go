package token

import "time"

// seenFlowPlaces is the number of flows remembered. With more flows, some known ones count as
// unknown and weak evidence is ignored.
const seenFlowPlaces = 1 << 14

// seenFlows is a lossy set of the flows whose packets arrived here before. A packet of an unknown
// open flow suggests that the routers redistributed flows (ECMP rehash), so that responses to
// earlier requests are acknowledged past another daemon.
type seenFlows struct {
	// fingerprints holds one fingerprint per slot; the flow's hash selects the slot.
	fingerprints [seenFlowPlaces]uint32
	strangerAt   time.Time
}

// see adds a flow, given by its hash, and reports whether it was known.
func (s *seenFlows) see(hash uint64) bool {
	place, fingerprint := &s.fingerprints[hash%seenFlowPlaces], uint32(hash>>32)|1
	wasSeen := *place == fingerprint
	*place = fingerprint
	return wasSeen
}

// noteStranger records that an unknown flow arrived.
func (s *seenFlows) noteStranger(now time.Time) { s.strangerAt = now }

// isSettledSince reports whether no unknown flow has arrived at or after the given time.
func (s *seenFlows) isSettledSince(since time.Time) bool { return since.After(s.strangerAt) }
