package token

import "time"

// seenFlowSlots is the number of flows remembered. With more flows, some known ones count as
// unknown and weak evidence is ignored.
const seenFlowSlots = 1 << 14

// seenFlows is a lossy set of the flows whose packets arrived here before. A packet of an unknown
// open flow suggests that the routers redistributed flows (ECMP rehash), so that responses to
// earlier requests are acknowledged through another daemon.
type seenFlows struct {
	// fingerprints holds one fingerprint per slot; the flow's hash selects the slot.
	fingerprints  [seenFlowSlots]uint32
	lastUnknownAt time.Time
}

// add inserts a flow, given by its hash, and reports whether it was known.
func (s *seenFlows) add(hash uint64) bool {
	slot, fingerprint := &s.fingerprints[hash%seenFlowSlots], uint32(hash>>32)|1
	wasSeen := *slot == fingerprint
	*slot = fingerprint
	return wasSeen
}

// noteUnknown records that an unknown flow arrived.
func (s *seenFlows) noteUnknown(now time.Time) { s.lastUnknownAt = now }

// hasNoUnknownSince reports whether no unknown flow has arrived at or after the given time.
func (s *seenFlows) hasNoUnknownSince(since time.Time) bool { return since.After(s.lastUnknownAt) }
