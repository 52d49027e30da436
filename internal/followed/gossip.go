package followed

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/outlier"
	"github.com/passtray/passtray/internal/storeview"
)

type gossipMessage struct {
	Delta   *Delta           `cbor:"1,keyasint,omitempty"`
	Reports []outlier.Report `cbor:"2,keyasint,omitempty"`
	// Successions are targets that others were seen to have succeeded at their addresses.
	Successions []storeview.Succession `cbor:"3,keyasint,omitempty"`
}

// maxSuccessions bounds the successions in one message, some 30 bytes each.
const maxSuccessions = 16

// ReportSuccessions gossips the successions that this daemon has seen. Those beyond maxSuccessions
// are left to the responses that other daemons see.
func (f *Fleet) ReportSuccessions(successions []storeview.Succession) {
	if len(successions) > 0 {
		f.group.Broadcast(encode(gossipMessage{Successions: successions[:min(len(successions), maxSuccessions)]}))
	}
}

// Report gossips this daemon's reports on targets.
func (f *Fleet) Report(reports []outlier.Report) {
	if len(reports) > 0 {
		f.group.Broadcast(encode(gossipMessage{Reports: reports}))
	}
}

// handleGossip handles a gossip message. Messages that cannot be decoded are ignored.
func (f *Fleet) handleGossip(now time.Time, payload []byte, into *FleetOutput) {
	var received gossipMessage
	if cbor.Unmarshal(payload, &received) != nil {
		return
	}
	into.Reports = append(into.Reports, received.Reports...)
	into.Successions = append(into.Successions, received.Successions...)
	if received.Delta != nil {
		f.handleLargeUpdate(now, received.Delta)
		f.applyDelta(now, received.Delta, into)
	}
}

// applyDelta merges a delta and gossips it on if it contained changes.
func (f *Fleet) applyDelta(now time.Time, delta *Delta, into *FleetOutput) {
	before := f.View().Revision()
	change, _ := f.follower.MergeDelta(now, delta)
	into.Change.Add(change)
	if !change.IsEmpty() && before > 0 && delta.Since > 0 {
		f.broadcast(now, delta, false)
	}
}

// gossipAnswer gossips the answer to a call. Only a watch returns all changes between two
// revisions; a list shows removals only by omission, so for a list only the new revision is
// announced. configuration is the revision of the previously held version.
func (f *Fleet) gossipAnswer(now time.Time, call *Call, answer *Answer, configuration uint64) {
	until := f.View().Revision()
	delta := &Delta{Since: until, Until: until}
	if call.Kind == CallWatch {
		delta = &Delta{Since: call.AfterRevision, Until: answer.Revision, Entries: f.withDifferences(now, answer.Entries, configuration)}
	}
	f.broadcast(now, delta, true)
}

// gossipTargets gossips the answer to a watch for targets only. Since equals Until, so that
// receivers do not take it for all changes up to then.
func (f *Fleet) gossipTargets(now time.Time, answer *Answer) {
	f.broadcast(now, &Delta{Since: answer.Revision, Until: answer.Revision, Entries: answer.Entries}, true)
}

// withDifferences replaces configurations in entries by their differences to the previous
// version.
func (f *Fleet) withDifferences(now time.Time, entries []storeview.Entry, configuration uint64) []storeview.Entry {
	differences, found := f.View().DifferencesSince(now, configuration)
	if !found {
		return entries
	}
	others := slices.DeleteFunc(slices.Clone(entries), func(entry storeview.Entry) bool { return entry.Configuration != nil })
	return append(others, differences...)
}

// broadcast gossips a delta if it is small enough. Of a larger one only the revision is
// announced, and peers pull it. isFromStore reports that this daemon read it from the store.
func (f *Fleet) broadcast(now time.Time, delta *Delta, isFromStore bool) {
	full := Delta{Since: delta.Since, Until: delta.Until, Entries: delta.Entries, Digest: f.Digest(now)}
	payload := encode(gossipMessage{Delta: &full})
	if len(payload) > f.config.MaxGossipBytes {
		payload = encode(gossipMessage{Delta: &Delta{Since: delta.Until, Until: delta.Until, Digest: full.Digest}})
	}
	f.group.Broadcast(payload)
	f.group.SetDigest(encode(full.Digest))
	f.sendDirectly(now, payload, isFromStore)
}

// handleLargeUpdate handles the announcement of an update too large for gossip. It is pulled at
// once, within the rate limit of largeUpdateLimiter.
func (f *Fleet) handleLargeUpdate(now time.Time, delta *Delta) {
	isLarge := delta.Since == delta.Until && len(delta.Entries) == 0
	if isLarge && delta.Until > max(f.largeUpdateRevision, f.View().Revision()) && f.largeUpdateLimiter.allow(now) {
		f.largeUpdateRevision = max(f.largeUpdateRevision, delta.Until)
	}
}

// handleDigest handles a peer's digest. A confirmation applies to the local view only if that has
// reached the confirmed revision. sentAt is the earliest time at which the digest can have been
// sent. After a pause of the process, when messages may have waited in the socket, the ages in
// a digest are ignored.
func (f *Fleet) handleDigest(now, sentAt time.Time, from netip.AddrPort, digest Digest) {
	if !f.pause.MayBeStale(now) {
		f.readerLease.merge(now, lease{rank: digest.Reader, renewedAt: sentAt.Add(-digest.ReaderAge)}, f.config.ReaderLeaseDuration)
	}
	if digest.Revision > 0 {
		f.informedPeers.add(from)
	}
	switch {
	case digest.Revision > f.View().Revision() || digest.Version > f.View().Held().Version:
		f.recordAhead(now, from, digest)
	case digest.IsConfirmed && !f.pause.MayBeStale(now):
		f.peerConfirmedAt = maxTime(f.peerConfirmedAt, sentAt.Add(-digest.Age))
	}
}

// recordAhead records a peer that has more than this daemon. Peers of the same zone are
// preferred, then those with the highest revision.
func (f *Fleet) recordAhead(now time.Time, peer netip.AddrPort, digest Digest) {
	if f.isBusy(now, peer) {
		return
	}
	if !f.isBehind() {
		f.aheadSince = now
		f.setAhead(peer, digest)
		return
	}
	isNear, isHeldNear := f.group.ZoneAt(peer) == f.self.Zone, f.group.ZoneAt(f.aheadPeer) == f.self.Zone
	if isNear && !isHeldNear || isNear == isHeldNear && digest.Revision >= f.aheadRevision {
		f.setAhead(peer, digest)
	}
}

func (f *Fleet) setAhead(peer netip.AddrPort, digest Digest) {
	f.aheadPeer, f.aheadRevision, f.aheadVersion = peer, digest.Revision, digest.Version
}

func encode(value any) []byte {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		panic(eris.Wrap(err, "encode message to peer as CBOR"))
	}
	return encoded
}
