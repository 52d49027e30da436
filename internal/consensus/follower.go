package consensus

import (
	"time"
)

// followLeader follows the sender of an append or snapshot request. It rejects the message and returns
// false if its term is stale.
func (r *Replica) followLeader(now time.Time, message *Message) bool {
	if message.Term < r.term {
		r.send(Message{Kind: AppendReply, To: message.From, LogIndex: r.log.lastIndex()})
		return false
	}
	r.becomeFollower(now, message.Term, message.From)
	r.lastLeaderMessage = now
	return true
}

func (r *Replica) handleAppendRequest(now time.Time, message *Message) {
	if !r.followLeader(now, message) {
		return
	}
	reply := Message{Kind: AppendReply, To: message.From, Round: message.Round}
	if message.LogIndex < r.log.snapshot.Index {
		// Entries up to the snapshot are committed, so they match.
		reply.Accepted = true
		reply.LogIndex = r.commit
		r.send(reply)
		return
	}
	if term, found := r.log.termAt(message.LogIndex); !found || term != message.LogTerm {
		reply.LogIndex = min(r.log.lastIndex(), message.LogIndex-1)
		r.send(reply)
		return
	}
	r.mergeEntries(message.Entries)
	reply.Accepted = true
	reply.LogIndex = message.LogIndex + uint64(len(message.Entries))
	r.commitTo(min(message.Commit, reply.LogIndex))
	r.send(reply)
}

// mergeEntries appends the entries that are missing. It truncates only on a conflict, so that a late,
// shorter append cannot drop entries already acknowledged (section 3.5).
func (r *Replica) mergeEntries(entries []Entry) {
	for _, entry := range entries {
		term, found := r.log.termAt(entry.Index)
		if found && term == entry.Term {
			continue
		}
		if found {
			if entry.Index <= r.commit {
				panic("consensus: append conflicts with a committed entry")
			}
			r.log.truncateFrom(entry.Index)
		}
		r.log.append(entry)
	}
}

func (r *Replica) handleSnapshotRequest(now time.Time, message *Message) {
	if message.Snapshot == nil || !r.followLeader(now, message) {
		return
	}
	if message.Snapshot.Index > r.commit {
		r.log = replicatedLog{snapshot: *message.Snapshot}
		r.commit = message.Snapshot.Index
		r.output.Installed = message.Snapshot
	}
	r.send(Message{Kind: AppendReply, To: message.From, Accepted: true, LogIndex: r.commit, Round: message.Round})
}

// Compact replaces the entries up to index by a snapshot with data, the application's state at index.
// It does nothing if index is not committed or is already compacted.
func (r *Replica) Compact(index uint64, data []byte) {
	if index > r.commit || index <= r.log.snapshot.Index {
		return
	}
	r.log.compact(index, data)
}

// LogLength returns the number of entries after the snapshot.
func (r *Replica) LogLength() int { return len(r.log.entries) }
