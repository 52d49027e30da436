package followed

import (
	"fmt"
	"time"

	"github.com/passtray/passtray/internal/storeview"
)

// part is the part of the store's content that a list page belongs to.
type part uint8

const (
	// partAll is the full content in key order.
	partAll part = iota
	// partTargets is the targets, partRest all else. Read in this order they form a complete
	// list: the second part is no older than the first.
	partTargets
	partRest
)

// minSplitTransfer is the transfer time of MaxEarlyTargetsBytes from which the content is read in two
// parts. On a faster link the second round trip costs more than reading the targets first
// gains.
const minSplitTransfer = 10 * time.Millisecond

// firstPart returns the part that a list begins with. A daemon without a configuration on a
// slow link reads the targets first, as existing flows need no route. Requesting the full
// content and canceling it would cost as much bandwidth: what is in flight by then occupies a
// link of 10 Mbit/s for some 60 ms.
func (f *Follower) firstPart() part {
	if f.incremental != nil {
		return partRest
	}
	isSlow := f.config.MaxEarlyTargetsBytes > 0 && f.config.transferTime(f.config.MaxEarlyTargetsBytes) >= minSplitTransfer
	if isSlow && !f.isComplete() && !f.isSplitDisabled {
		return partTargets
	}
	return partAll
}

// prepareList fills in the call for the next page of the list. Only the first page may be
// stale: a later page that is older than the first would lack changes that precede the revision
// at which the watch starts, and so lose them for good.
func (f *Follower) prepareList(call *Call) {
	if f.part == partAll && len(f.pages) == 0 {
		f.part = f.firstPart()
	}
	call.Kind = CallList
	call.AllowStale = !f.needsConsistentList && len(f.pages) == 0 && f.incremental == nil
	call.Timeout = f.growTimeout(f.config.ListTimeout)
	call.AfterKey = f.afterKey
	call.TargetsOnly = f.part == partTargets
	call.WithoutTargets = f.part == partRest
	switch {
	case f.incremental != nil:
		call.Timeout = max(call.Timeout, f.latencyTimeout())
	case f.part == partTargets:
		call.MaxBytes = min(f.maxListBytes, f.config.MaxEarlyTargetsBytes)
	case f.view.Configuration() == nil:
		call.MaxBytes = f.maxListBytes
	}
}

// handleTargets merges the entries of a page of targets without waiting for the rest of the list. It
// neither removes entries nor advances the revision; only the complete list does.
func (f *Follower) handleTargets(now time.Time, entries []storeview.Entry, answer *Answer, output *Output) {
	f.emitChange(f.view.Merge(now, entries), output)
	output.Events = append(output.Events, Event{EventTargetsListed, listSummary(len(entries), answer)})
}

// nextPart advances to the next part of the list and reports false if there is none.
func (f *Follower) nextPart(now time.Time) bool {
	if f.incremental != nil && f.part == partRest {
		f.startTargetRanges(now)
		return true
	}
	if f.incremental != nil {
		return false
	}
	if f.part != partTargets {
		return false
	}
	f.afterKey = ""
	f.ranges = nil
	f.part = partRest
	if len(f.pages) == 0 {
		// Without an entry there is no revision at which a watch could start.
		f.isSplitDisabled = true
		f.part = partAll
	}
	return true
}

// isFirstPage reports whether the next page is the first of its part.
func (f *Follower) isFirstPage() bool { return f.afterKey == "" }

// handleTooLarge handles a part that is too large for the daemon's link while peers may supply
// it. If it was the full content, the targets are read alone at once.
func (f *Follower) handleTooLarge(now time.Time, answer *Answer, output *Output) {
	output.Events = append(output.Events, Event{EventTooLarge, fmt.Sprintf("%d bytes", answer.Bytes)})
	if f.part == partAll && f.config.MaxEarlyTargetsBytes > 0 && !f.isSplitDisabled {
		f.part = partTargets
		f.nextCallAt = now
		return
	}
	f.isContentLarge = true
	f.maxListBytes = 0
	f.longListBytes = answer.Bytes
	if f.part == partTargets {
		f.isSplitDisabled = true
		f.restartList()
	}
	spread := max(f.config.StartupSpread.delay(f.random.Float64()), f.congestionDelay())
	f.nextCallAt = now.Add(f.config.transferTime(answer.Bytes) + spread)
}

// deferToPeers abandons a list with so many pages that a snapshot from a peer is expected
// sooner. It keeps many daemons that start at once from saturating the store's link.
func (f *Follower) deferToPeers(now time.Time, output *Output) {
	output.Events = append(output.Events, Event{EventTooLarge, fmt.Sprintf("more than %d bytes in pages", f.pagesBytes)})
	f.maxListBytes = 0
	f.isSplitDisabled = true
	f.restartList()
	f.nextCallAt = now.Add(f.config.PagedSpread.delay(f.random.Float64()))
}
