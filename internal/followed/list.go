package followed

import (
	"fmt"
	"time"

	"github.com/passtray/passtray/internal/storeview"
)

func (f *Follower) restartList() {
	f.phase = phaseListing
	f.forgetPages()
}

// forgetPages resets the list so that the next page is its first.
func (f *Follower) forgetPages() {
	f.pages = nil
	f.pagesBytes = 0
	f.listRevision = 0
	f.part = partWhole
	f.afterKey = ""
}

// takePage collects pages. They are not a snapshot: the watch that follows starts at the
// revision of the first page and delivers changes made while the pages were read. A stale first
// page is only as recent as the highest revision of its entries, whatever revision the answer
// names; later pages are consistent.
func (f *Follower) takePage(now time.Time, call *Call, answer *Answer, output *Output) {
	isOfLostContent := len(f.pages) > 0 && answer.Epoch != f.listEpoch
	if isOfLostContent || f.isOfLaterEpoch(answer) && call.AllowStale {
		// A stale list may predate the backup from which the store was restored.
		f.exact = true
		f.restartList()
		f.nextAt = now
		return
	}
	f.listEpoch = answer.Epoch
	if len(f.pages) == 0 {
		f.listRevision = answer.Revision
		if call.AllowStale {
			f.listRevision = highestRevision(answer.Entries)
		}
	}
	f.pages = append(f.pages, answer.Entries...)
	f.pagesBytes += answer.Bytes
	f.nextAt = now
	if call.MostBytes > 0 && answer.More && f.pagesBytes >= call.MostBytes {
		f.leaveToPeers(now, output)
		return
	}
	if f.part == partTargets {
		f.takeTargets(now, answer, output)
	}
	if answer.More && len(answer.Entries) > 0 {
		f.afterKey = answer.Entries[len(answer.Entries)-1].Key
		f.nextAt = now.Add(f.congestionDelay())
		return
	}
	if f.nextPart() {
		return
	}
	if f.isOfLaterEpoch(answer) {
		f.sayRestored(answer, output)
	}
	change := f.view.MergeAll(now, f.pages, f.listRevision)
	f.report(change, output)
	output.Events = append(output.Events, Event{EventListed, f.listDetail(call, answer)})
	f.forgetPages()
	f.phase = phaseConfirming
}

// listDetail describes a completed list for the log.
func (f *Follower) listDetail(call *Call, answer *Answer) string {
	freshness := "consistent"
	if call.AllowStale {
		freshness = "may be stale"
	}
	return fmt.Sprintf("revision %d, epoch %d, %s; ", storeview.NumberOf(f.listRevision), answer.Epoch, freshness) + listedDetail(len(f.pages), answer)
}

func listedDetail(entries int, answer *Answer) string {
	return fmt.Sprintf("%d entries; last page began after %s, took %s",
		entries, answer.BeganAfter.Round(time.Millisecond), answer.TookFor.Round(time.Millisecond))
}

func highestRevision(entries []storeview.Entry) uint64 {
	var highest uint64
	for index := range entries {
		highest = max(highest, entries[index].Revision)
	}
	return highest
}
