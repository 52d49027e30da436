package followed

import (
	"fmt"
	"time"

	"github.com/passtray/passtray/internal/storeview"
)

func (f *Follower) restartList() {
	f.phase = phaseListing
	f.resetPages()
}

// resetPages resets the list so that the next page is its first.
func (f *Follower) resetPages() {
	f.pages = nil
	f.pagesBytes = 0
	f.listRevision = 0
	f.part = partAll
	f.afterKey = ""
	f.latePages = 0
	f.ranges = nil
}

// handlePage collects pages. They are not a snapshot: the watch that follows starts at the
// revision of the first page and delivers changes made while the pages were read. A stale first
// page is only as recent as the highest revision of its entries, whatever revision the answer
// names; later pages are consistent.
func (f *Follower) handlePage(now time.Time, call *Call, answer *Answer, output *Output) {
	isOfLostContent := len(f.pages) > 0 && answer.Epoch != f.listEpoch
	if isOfLostContent || f.isFromLaterEpoch(answer) && call.AllowStale {
		// A stale list may predate the backup from which the store was restored.
		f.needsConsistentList = true
		f.restartList()
		f.nextCallAt = now
		return
	}
	f.listEpoch = answer.Epoch
	if len(f.pages) == 0 {
		f.listRevision = answer.Revision
		if call.AllowStale {
			f.listRevision = maxRevision(answer.Entries)
		}
	}
	f.pages = append(f.pages, answer.Entries...)
	f.pagesBytes += answer.Bytes
	f.nextCallAt = now
	f.isContentLarge = f.isContentLarge || answer.More
	if call.MaxBytes > 0 && answer.More && f.pagesBytes >= call.MaxBytes {
		f.deferToPeers(now, output)
		return
	}
	if f.incremental != nil {
		f.mergePage(now, answer.Entries, output)
	} else if f.part == partTargets {
		f.handleTargets(now, answer.Entries, answer, output)
	}
	if answer.More && len(answer.Entries) > 0 {
		f.afterKey = answer.Entries[len(answer.Entries)-1].Key
		delay := f.congestionDelay()
		f.nextCallAt = now.Add(delay)
		f.recordPageLatency()
		if delay == 0 && call.MaxBytes == 0 {
			f.splitList()
		}
		return
	}
	f.handleListed(now, call, answer, output)
}

// handleListed merges the pages once the last one of a part has been read.
func (f *Follower) handleListed(now time.Time, call *Call, answer *Answer, output *Output) {
	f.nextCallAt = now
	if f.nextPart(now) {
		return
	}
	if f.isFromLaterEpoch(answer) {
		f.emitRestored(answer, output)
	}
	change := f.view.MergeSnapshot(now, f.pages, f.listRevision)
	f.emitChange(change, output)
	if f.incremental != nil {
		f.view.AdvanceTo(f.listWatch.revision)
		f.incremental = nil
		f.listWatch.call = nil
	}
	output.Events = append(output.Events, Event{EventListed, f.listDetail(call, answer)})
	f.resetPages()
	f.phase = phaseConfirming
}

// listDetail describes a completed list for the log.
func (f *Follower) listDetail(call *Call, answer *Answer) string {
	freshness := "consistent"
	if call.AllowStale {
		freshness = "may be stale"
	}
	return fmt.Sprintf("revision %d, epoch %d, %s; ", storeview.ChangeNumberOf(f.listRevision), answer.Epoch, freshness) + listSummary(len(f.pages), answer)
}

func listSummary(entries int, answer *Answer) string {
	return fmt.Sprintf("%d entries; last page began after %s, took %s",
		entries, answer.TimeToFirstByte.Round(time.Millisecond), answer.TotalTime.Round(time.Millisecond))
}

func maxRevision(entries []storeview.Entry) uint64 {
	var highest uint64
	for index := range entries {
		highest = max(highest, entries[index].Revision)
	}
	return highest
}
