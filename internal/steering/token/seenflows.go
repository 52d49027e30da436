package token

import "time"

// seenFlowPlaces is how many flows a daemon remembers to have seen. Beyond, it takes
// some for strangers, and weak evidence is passed over.
const seenFlowPlaces = 1 << 14

// seenFlows tells flows whose packets came here before from strangers. A stranger means
// that the routers may have dealt flows anew, so that answers to what was asked before then
// go past another daemon.
type seenFlows struct {
	// fingerprints holds one of each flow that was seen, at a place by its hash.
	fingerprints [seenFlowPlaces]uint32
	strangerAt   time.Time
}

// see notes a packet's flow, given by its hash, and reports whether it had been seen
// before.
func (s *seenFlows) see(hash uint64) bool {
	place, fingerprint := &s.fingerprints[hash%seenFlowPlaces], uint32(hash>>32)|1
	wasSeen := *place == fingerprint
	*place = fingerprint
	return wasSeen
}

// noteStranger notes that a flow came that had not been seen.
func (s *seenFlows) noteStranger(now time.Time) { s.strangerAt = now }

// isSettledSince reports whether the routers have dealt no flows anew since a
// time, as far as can be seen here.
func (s *seenFlows) isSettledSince(since time.Time) bool { return since.After(s.strangerAt) }
