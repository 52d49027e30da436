package followed

import (
	"net/netip"
	"time"

	"github.com/passtray/passtray/internal/membership"
)

// mergePeerMembers merges the members known to a peer. The first list is not gossiped on, since the
// daemons on it learn of each other from the same peers.
func (f *Fleet) mergePeerMembers(now time.Time, members []membership.Member, output *FleetOutput) {
	if !f.hasPeerMembers && len(members) > 0 {
		f.hasPeerMembers = true
		f.handleGroupOutput(now, f.group.Adopt(now, members), output)
		return
	}
	f.handleGroupOutput(now, f.group.Merge(now, members), output)
}

// Serve answers a peer's pull.
func (f *Fleet) Serve(now time.Time, pull *Pull) Delta {
	f.recordRequester(now, pull)
	if pull.IsBusy || f.lacksSnapshot() {
		return f.redirect(now, pull)
	}
	since := pull.Since
	view := f.View()
	if since < view.CompactedRevision() {
		since = 0
	}
	if since == 0 && pull.Redirects < MaxRedirects && f.budget.isExhausted(now) {
		if delta := f.redirect(now, pull); delta.Ahead.IsValid() {
			return delta
		}
	}
	if since == 0 {
		f.budget.charge(now)
	}
	delta := Delta{Since: since, Digest: f.Digest(now)}
	if f.isBehind() {
		delta.Ahead, delta.AheadRevision = f.aheadPeer, f.aheadRevision
	}
	if since == 0 {
		delta.Entries, delta.Until = f.snapshots.get(now, view)
	} else {
		delta.Entries, delta.Until = view.EntriesSince(now, since, pull.Held), view.Revision()
	}
	if pull.Fingerprints != nil {
		delta.Members = f.group.MissingFrom(pull.Fingerprints)
	}
	if pull.Requester.Identity.Address.IsValid() {
		f.informedPeers.add(pull.Requester.Identity.Address)
	}
	return delta
}

// recordRequester records what a pull reveals about the requesting daemon.
func (f *Fleet) recordRequester(now time.Time, pull *Pull) {
	if !pull.Requester.Identity.Address.IsValid() {
		return // sent by an earlier version of the program
	}
	var output FleetOutput
	f.handleGroupOutput(now, f.group.Merge(now, []membership.Member{pull.Requester}), &output)
	if pull.Since > f.View().Revision() {
		f.recordAhead(now, pull.Requester.Identity.Address, Digest{Revision: pull.Since})
	}
}

// redirect returns an answer that only refers to a daemon that has more than the requester.
func (f *Fleet) redirect(now time.Time, pull *Pull) Delta {
	delta := Delta{Since: pull.Since, Until: pull.Since, Digest: f.Digest(now), IsRedirect: true}
	if other, found := f.pickInformed(pull.Requester); found {
		delta.Ahead, delta.AheadRevision = other, max(f.View().Revision(), f.aheadRevision, pull.Since+1)
	}
	return delta
}

// RecordSnapshotSize records the encoded size of the answer to a pull in bytes.
func (f *Fleet) RecordSnapshotSize(delta *Delta, bytes int) {
	if delta.Since == 0 && !delta.IsRedirect {
		f.budget.recordSize(bytes)
	}
}

// pickInformed selects a daemon to redirect to: preferably a strong one in the requester's
// zone, then any strong one, then any.
func (f *Fleet) pickInformed(requester membership.Member) (netip.AddrPort, bool) {
	capacity := measureCapacity(f.group.Live())
	for _, isWanted := range []func(member *membership.Member) bool{
		func(member *membership.Member) bool {
			return member.Zone == requester.Zone && capacity.isStrong(member)
		},
		func(member *membership.Member) bool { return capacity.isStrong(member) },
		func(*membership.Member) bool { return true },
	} {
		other, found := f.informedPeers.pick(f.random, func(address netip.AddrPort) bool {
			member, isLive := f.group.LiveAt(address)
			return isLive && address != requester.Identity.Address && isWanted(&member)
		})
		if found {
			return other, true
		}
	}
	return netip.AddrPort{}, false
}
