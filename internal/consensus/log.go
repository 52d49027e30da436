package consensus

import (
	"slices"

	"github.com/passtray/passtray/internal/identity"
)

// replicatedLog is the entries after a snapshot, in memory.
type replicatedLog struct {
	snapshot Snapshot
	entries  []Entry
}

func (l *replicatedLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *replicatedLog) lastTerm() uint64 {
	term, _ := l.termAt(l.lastIndex())
	return term
}

// termAt reports false for an index that is compacted away or not there yet.
func (l *replicatedLog) termAt(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

// from returns at most limit entries starting at index, which must be kept.
func (l *replicatedLog) from(index uint64, limit int) []Entry {
	tail := l.entries[index-l.snapshot.Index-1:]
	return slices.Clone(tail[:min(limit, len(tail))])
}

func (l *replicatedLog) append(entry Entry) { l.entries = append(l.entries, entry) }

// truncateFrom drops index and all after it.
func (l *replicatedLog) truncateFrom(index uint64) {
	l.entries = slices.Clone(l.entries[:index-l.snapshot.Index-1])
}

// compact replaces the entries up to index by a snapshot with data.
func (l *replicatedLog) compact(index uint64, data []byte) {
	term, _ := l.termAt(index)
	voters := l.votersAt(index)
	l.entries = slices.Clone(l.entries[index-l.snapshot.Index:])
	l.snapshot = Snapshot{Term: term, Index: index, Voters: voters, Data: data}
}

// votersAt returns the newest voters at or before index. The newest in the log
// count from the moment they are appended, committed or not (section 4.1).
func (l *replicatedLog) votersAt(index uint64) []identity.Identity {
	for position := len(l.entries) - 1; position >= 0; position-- {
		entry := &l.entries[position]
		if entry.Kind == EntryVoters && entry.Index <= index {
			return entry.Voters
		}
	}
	return l.snapshot.Voters
}

// lastVotersIndex returns the index of the newest voters entry.
func (l *replicatedLog) lastVotersIndex() uint64 {
	for position := len(l.entries) - 1; position >= 0; position-- {
		if l.entries[position].Kind == EntryVoters {
			return l.entries[position].Index
		}
	}
	return l.snapshot.Index
}
