package consensus

import (
	"slices"

	"github.com/passtray/passtray/internal/identity"
)

// replicatedLog is a snapshot and the entries after it, in memory.
type replicatedLog struct {
	snapshot Snapshot
	entries  []Entry
}

func (l *replicatedLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *replicatedLog) lastTerm() uint64 {
	term, _ := l.termAt(l.lastIndex())
	return term
}

// termAt returns false for an index that is compacted or after the last one.
func (l *replicatedLog) termAt(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

// entriesFrom returns at most limit entries starting at index, which must not be compacted.
func (l *replicatedLog) entriesFrom(index uint64, limit int) []Entry {
	tail := l.entries[index-l.snapshot.Index-1:]
	return slices.Clone(tail[:min(limit, len(tail))])
}

func (l *replicatedLog) append(entry Entry) { l.entries = append(l.entries, entry) }

// truncateFrom removes the entry at index and all later ones.
func (l *replicatedLog) truncateFrom(index uint64) {
	l.entries = slices.Clone(l.entries[:index-l.snapshot.Index-1])
}

func (l *replicatedLog) compact(index uint64, data []byte) {
	term, _ := l.termAt(index)
	voters := l.votersAt(index)
	l.entries = slices.Clone(l.entries[index-l.snapshot.Index:])
	l.snapshot = Snapshot{Term: term, Index: index, Voters: voters, Data: data}
}

// votersAt returns the latest voters at or before index. Voters are in effect as soon as they are
// appended, committed or not (section 4.1).
func (l *replicatedLog) votersAt(index uint64) []identity.Identity {
	for i := len(l.entries) - 1; i >= 0; i-- {
		entry := &l.entries[i]
		if entry.Kind == EntryVoters && entry.Index <= index {
			return entry.Voters
		}
	}
	return l.snapshot.Voters
}

// lastVotersIndex returns the index of the latest voters entry, or the snapshot's index.
func (l *replicatedLog) lastVotersIndex() uint64 {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind == EntryVoters {
			return l.entries[i].Index
		}
	}
	return l.snapshot.Index
}
