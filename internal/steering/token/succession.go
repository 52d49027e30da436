package token

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/storeview"
)

// Of two targets with the same address only the one that started last can run. The store often shows
// which one that is. If it does not, both are used until the address itself shows it: flows of an
// ended target get no responses, as a target ignores packets that are addressed to another one.
// Resetting the flows of the wrong one would end requests that run; if neither is reset, the callers
// of the ended one wait a little longer.

// succession is what is known of a target and another one at its address.
type succession uint8

const (
	// notSucceeded means that the other target did not take over the address.
	notSucceeded succession = iota
	// maybeSucceeded means that either of the two may run.
	maybeSucceeded
	// succeeded means that the other target started later, so that this one has ended.
	succeeded
)

// successionBy returns what another target at the same address tells about this one.
func (t *Target) successionBy(other *Target) succession {
	switch {
	case other == t || other.isUndeclared || t.StartedAfter(other.KnownTarget):
		return notSucceeded
	case other.StartedAfter(t.KnownTarget):
		return succeeded
	case other.IsRemoved:
		return notSucceeded
	}
	return maybeSucceeded
}

// Evidence that a target took over the address of another one.
const (
	EvidenceIncarnation = "later incarnation"
	EvidenceFirstWrite  = "first write after the other target was known"
	EvidenceResponses   = "other target does not respond"
	EvidenceReport      = "other target does not respond, by a report"
)

// evidenceOf returns what shows that another target took over the address of this one, "" if nothing
// does.
func (t *Target) evidenceOf(other *Target) string {
	state := t.successionBy(other)
	switch {
	case state == succeeded && t.Incarnation != 0 && other.Incarnation > t.Incarnation:
		return EvidenceIncarnation
	case state == succeeded:
		return EvidenceFirstWrite
	case state == maybeSucceeded && t.isUnresponsive && other.Identifier == t.reportedSuccessor:
		return EvidenceReport
	case state == maybeSucceeded && t.isUnresponsive:
		return EvidenceResponses
	}
	return ""
}

// Succession reports that a target was superseded by another one at its address, or no longer is.
type Succession struct {
	Target *Target
	// By is the target that runs at the address, and Evidence what shows that. By is nil if Target
	// counts as running again.
	By       *Target
	Evidence string
}

// Report returns what to tell other daemons; ok is false if the evidence is not this daemon's own, or
// known to all.
func (s *Succession) Report() (report storeview.Succession, ok bool) {
	if s.By == nil || s.Evidence != EvidenceResponses {
		return storeview.Succession{}, false
	}
	return storeview.Succession{Ended: s.Target.Identifier, Incarnation: s.Target.LatestIncarnation, Successor: s.By.Identifier}, true
}

// TakeSuccessions returns the targets that were superseded, or no longer are, since the last call. It
// must not be called while the table is in use.
func (t *Table) TakeSuccessions() []Succession {
	var successions []Succession
	for target := range t.index.successionChanged {
		if target.IsSuperseded != target.wasSuperseded && t.index.known(target.Identifier, target.Key) == target {
			successions = append(successions, t.index.successionOf(target))
			target.wasSuperseded = target.IsSuperseded
		}
	}
	clear(t.index.successionChanged)
	slices.SortFunc(successions, func(a, b Succession) int { return cmp.Compare(a.Target.Key, b.Target.Key) })
	return successions
}

// successionOf returns by which other target one is superseded. Of several, it is the one that
// started last.
func (x *index) successionOf(target *Target) Succession {
	succession := Succession{Target: target}
	if !target.IsSuperseded {
		return succession
	}
	for other := x.byAddress[addressKeyOf(target.Address)]; other != nil; other = other.nextSameAddress {
		if other.Address != target.Address || succession.By != nil && other.Start.Revision < succession.By.Start.Revision {
			continue
		}
		if evidence := target.evidenceOf(other); evidence != "" {
			succession.By, succession.Evidence = other, evidence
		}
	}
	return succession
}

// updateSuperseded recomputes which targets at an address have ended.
func (x *index) updateSuperseded(chain *Target, address netip.AddrPort) {
	isContested := false
	for target := chain; target != nil; target = target.nextSameAddress {
		if target.Address != address {
			continue
		}
		state := x.successionAt(chain, target)
		isContested = isContested || state == maybeSucceeded
		if state != maybeSucceeded {
			target.isUnresponsive, target.reportedSuccessor = false, 0
		}
		x.setSuperseded(target, state == succeeded || target.isUnresponsive)
	}
	if isContested {
		x.contested[address] = struct{}{}
	} else {
		delete(x.contested, address)
	}
}

// successionAt returns what the other targets at its address tell about a target.
func (x *index) successionAt(chain, target *Target) succession {
	state := notSucceeded
	for other := chain; other != nil; other = other.nextSameAddress {
		if other.Address == target.Address {
			state = max(state, target.successionBy(other))
		}
	}
	return state
}

// ResolveContested decides for addresses with several targets, of which the store does not show
// which one runs, by the responses seen since. It reports whether a target is superseded now that
// was not before. It must not be called while the table is in use.
func (t *Table) ResolveContested() bool {
	hasNew := false
	for address := range t.index.contested {
		chain := t.index.byAddress[addressKeyOf(address)]
		before := t.index.superseded
		for target := chain; target != nil; target = target.nextSameAddress {
			if target.Address == address {
				target.isUnresponsive = t.index.isUnresponsive(chain, target)
			}
		}
		t.index.updateSuperseded(chain, address)
		for target := chain; target != nil; target = target.nextSameAddress {
			t.index.reindex(target)
		}
		hasNew = hasNew || t.index.superseded > before
	}
	return hasNew
}

// isUnresponsive reports whether a target's responses, or their absence, show that another one runs
// at its address.
func (x *index) isUnresponsive(chain, target *Target) bool {
	for other := chain; other != nil; other = other.nextSameAddress {
		if other.Address != target.Address || target.successionBy(other) != maybeSucceeded {
			continue
		}
		if target.isReportedToYieldTo(other) || target.isSilentBeside(other) {
			return true
		}
	}
	return false
}

// isSilentBeside reports whether the target has not responded since it and a later one at its address
// were both known, although the later one has. Of two targets only the earlier one is reset: a response
// of it may have waited in the socket while the later one started.
//
// Silence of the earlier one alone shows nothing: its requests may take long, and the routers may have
// moved its flows to other daemons.
func (t *Target) isSilentBeside(later *Target) bool {
	since := t.contestedSince(later)
	isLater := later.Start.Revision > t.Start.Revision
	return isLater && !t.Signal.LastActivity().After(since) && later.Signal.LastActivity().After(since)
}

// contestedSince returns since when the target and another one are both known.
func (t *Target) contestedSince(other *Target) time.Time {
	if other.presentSince.After(t.presentSince) {
		return other.presentSince
	}
	return t.presentSince
}

// isReportedToYieldTo reports whether another daemon has seen responses of a later target, while this
// one has seen none of the target.
func (t *Target) isReportedToYieldTo(later *Target) bool {
	return t.reportedSuccessor == later.Identifier && later.Start.Revision > t.Start.Revision &&
		!t.Signal.LastActivity().After(t.contestedSince(later))
}

// NoteSuccessions records what other daemons have seen of targets with the same address.
// ResolveContested takes it into account.
func (t *Table) NoteSuccessions(reports []storeview.Succession) {
	for _, report := range reports {
		target := t.targetByIdentifier(report.Ended)
		if target == nil || target.LatestIncarnation != report.Incarnation {
			continue
		}
		if _, isContested := t.index.contested[target.Address]; isContested {
			target.reportedSuccessor = report.Successor
		}
	}
}
