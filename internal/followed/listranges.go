package followed

import (
	"slices"
	"time"

	"github.com/passtray/passtray/internal/storeview"
)

const (
	// maxListRanges is the maximum number of key ranges that are listed concurrently.
	maxListRanges = 8
	// latencyPerRange is the latency of the store that justifies another concurrent range: about
	// the time that a page takes on a slow link. With less, the link or the processor is the
	// bottleneck, and each further range may cost a page that overlaps the next one.
	latencyPerRange = 40 * time.Millisecond
	// minLatePages is the number of consecutive pages with high latency after which a list is split.
	// Only a slow store delays so many; when a fleet starts at once, its calls delay the first few,
	// and further connections would not be established.
	minLatePages = 5
)

// KeySplitter divides the keys of a store.
type KeySplitter interface {
	// SplitKeys returns at most parts-1 keys in ascending order that divide the keys after a key
	// into ranges of about equal size. Ranges of unequal size are as correct, but take longer.
	SplitKeys(after string, parts int) []string
	// KeyAt returns a key before which about the given fraction of the targets lie. A key at
	// another place is as correct.
	KeyAt(fraction float64) string
}

// listRange is a range of keys whose pages are read one after the other. Several ranges are read
// concurrently, so that the time for a long list does not grow with the store's latency times
// the number of pages.
type listRange struct {
	// afterKey is the continuation key, lastKey the last key of the range, empty if the range
	// has no end.
	afterKey, lastKey string
	// call is the call in flight, nil if there is none; sentAt is when it was sent.
	call   *Call
	sentAt time.Time
	// nextCallAt is when the next page may be requested after a failed call.
	nextCallAt time.Time
	complete   bool
}

// recordPageLatency records the latency of a page, after which another one follows.
func (f *Follower) recordPageLatency() {
	if f.storeLatency < 2*latencyPerRange {
		f.latePages = 0
		return
	}
	f.latePages++
}

// splitList splits the rest of a list into ranges if the store's latency justifies it. Only later
// pages are read in ranges, since the first one determines the revision of the list.
func (f *Follower) splitList() {
	if f.config.Keys == nil || f.latePages < minLatePages {
		return
	}
	afterKey := f.afterKey
	for _, key := range f.config.Keys.SplitKeys(afterKey, f.rangeCount()) {
		if key <= afterKey {
			continue
		}
		f.ranges = append(f.ranges, &listRange{afterKey: afterKey, lastKey: key})
		afterKey = key
	}
	if len(f.ranges) > 0 {
		f.ranges = append(f.ranges, &listRange{afterKey: afterKey})
	}
}

// rangeCount returns the number of concurrent ranges that the store's latency justifies.
func (f *Follower) rangeCount() int {
	return min(int(f.storeLatency/latencyPerRange), maxListRanges)
}

// startRange starts the next page of a range without a call in flight, if there is one.
func (f *Follower) startRange(now time.Time, output *Output) {
	if f.incremental != nil && !f.mayStartPage(now) {
		return
	}
	for _, r := range f.ranges {
		if r.call != nil || r.complete || now.Before(r.nextCallAt) {
			continue
		}
		r.call = f.newCall()
		f.prepareList(r.call)
		r.call.AfterKey = r.afterKey
		r.call.MaxBytes = 0
		f.setTimeouts(r.call)
		r.sentAt = now
		output.Call = r.call
		return
	}
}

// rangeOf returns the range that a call belongs to, nil if there is none.
func (f *Follower) rangeOf(call *Call) *listRange {
	for _, r := range f.ranges {
		if r.call == call {
			return r
		}
	}
	return nil
}

// handleRangeAnswer handles the answer to a page of a range. A failed page is requested again after a
// backoff; the other ranges go on.
func (f *Follower) handleRangeAnswer(now time.Time, r *listRange, answer *Answer, output *Output) {
	call := r.call
	f.recordLatency(call, answer)
	if answer.Outcome != OutcomeAnswered || f.isFromEarlierEpoch(answer) {
		r.call = nil
		f.recordFailure(answer.Outcome, answer.Detail, output)
		r.nextCallAt = now.Add(f.jitter(f.backoff(now)))
		return
	}
	if answer.Epoch != f.listEpoch {
		f.abandonCalls()
		f.needsConsistentList = true
		f.restartList()
		f.nextCallAt = now
		return
	}
	r.call = nil
	f.recordSuccess(CallList, output)
	entries := r.take(answer)
	f.pages = append(f.pages, entries...)
	if f.incremental != nil {
		f.mergePage(now, entries, output)
		f.splitRange(r)
	} else if f.part == partTargets {
		f.handleTargets(now, entries, answer, output)
	}
	if !slices.ContainsFunc(f.ranges, func(r *listRange) bool { return !r.complete }) {
		f.handleListed(now, call, answer, output)
	}
}

// take returns the entries of a page that belong to the range, and advances it.
func (r *listRange) take(answer *Answer) []storeview.Entry {
	entries := answer.Entries
	if r.lastKey != "" {
		end, _ := slices.BinarySearchFunc(entries, r.lastKey, func(entry storeview.Entry, key string) int {
			if entry.Key <= key {
				return -1
			}
			return 1
		})
		r.complete = end < len(entries)
		entries = entries[:end]
	}
	if len(answer.Entries) > 0 {
		r.afterKey = answer.Entries[len(answer.Entries)-1].Key
	}
	hasNext := answer.More && len(answer.Entries) > 0
	r.complete = r.complete || !hasNext || r.lastKey != "" && r.afterKey >= r.lastKey
	return entries
}

// isRangeOverdue reports whether the answer to a page of a range is overdue.
func (f *Follower) isRangeOverdue(now time.Time) bool {
	return slices.ContainsFunc(f.ranges, func(r *listRange) bool {
		return r.call != nil && now.Sub(r.sentAt) > r.call.MaxDuration()+f.config.Slack
	})
}

// abandonRangeCalls abandons the calls of all ranges. What was read so far is kept.
func (f *Follower) abandonRangeCalls() {
	for _, r := range f.ranges {
		r.call = nil
	}
}
