package storeview

import (
	"cmp"
	"slices"
)

// recentEntries indexes entries by revision, so that finding the changes since a revision needs no
// scan of all entries. A changed entry is appended again; its earlier item is stale, recognizable
// by an outdated revision.
type recentEntries[K keepable[K]] struct {
	listed []listedEntry[K]
	// isUnsorted reports whether entries were added out of revision order.
	isUnsorted bool
}

type listedEntry[K any] struct {
	revision uint64
	entry    K
}

func (r *recentEntries[K]) add(revision uint64, entry K) {
	if count := len(r.listed); count > 0 && r.listed[count-1].revision > revision {
		r.isUnsorted = true
	}
	r.listed = append(r.listed, listedEntry[K]{revision, entry})
}

// fewListed is the number of stale items that are always tolerated.
const fewListed = 64

// isWasteful reports whether more than half of the items, beyond fewListed, are stale.
func (r *recentEntries[K]) isWasteful(held int) bool { return len(r.listed) > 2*held+fewListed }

// rebuild replaces the index by one of the held entries.
func (r *recentEntries[K]) rebuild(held map[string]K) {
	r.listed = make([]listedEntry[K], 0, len(held)+len(held)/2)
	for _, entry := range held {
		r.listed = append(r.listed, listedEntry[K]{entry.record().Revision, entry})
	}
	r.isUnsorted = true
}

// after returns the items with a higher revision, oldest first.
func (r *recentEntries[K]) after(revision uint64) []listedEntry[K] {
	return r.listed[r.place(revision):]
}

// before returns the items up to and including a revision, oldest first.
func (r *recentEntries[K]) before(revision uint64) []listedEntry[K] {
	return r.listed[:r.place(revision)]
}

// place returns the index of the first item with a higher revision.
func (r *recentEntries[K]) place(revision uint64) int {
	if r.isUnsorted {
		slices.SortFunc(r.listed, func(a, b listedEntry[K]) int {
			return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.entry.record().Key, b.entry.record().Key))
		})
		r.isUnsorted = false
	}
	place, _ := slices.BinarySearchFunc(r.listed, revision, func(listed listedEntry[K], wanted uint64) int {
		if listed.revision <= wanted {
			return -1
		}
		return 1
	})
	return place
}
