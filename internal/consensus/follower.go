package consensus

import (
	"time"
)

// followLeader takes note of a message from a leader of the current term. It
// reports false for a message of an earlier term.
func (r *Replica) followLeader(now time.Time, message *Message) bool {
	if message.Term < r.term {
		r.send(Message{Kind: AppendReply, To: message.From, LogIndex: r.log.lastIndex()})
		return false
	}
	r.becomeFollower(now, message.Term, message.From)
	r.heardLeader = now
	return true
}

func (r *Replica) answerAppend(now time.Time, message *Message) {
	if !r.followLeader(now, message) {
		return
	}
	reply := Message{Kind: AppendReply, To: message.From, Round: message.Round}
	if message.LogIndex < r.log.snapshot.Index {
		// What lies before the snapshot is committed and matches by definition.
		reply.Accepted = true
		reply.LogIndex = r.commit
		r.send(reply)
		return
	}
	if term, held := r.log.termAt(message.LogIndex); !held || term != message.LogTerm {
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

// mergeEntries appends what is new. Only a real conflict truncates, so that a
// late, shorter append cannot drop entries already acknowledged (section 3.5).
func (r *Replica) mergeEntries(entries []Entry) {
	for _, entry := range entries {
		term, held := r.log.termAt(entry.Index)
		if held && term == entry.Term {
			continue
		}
		if held {
			if entry.Index <= r.commit {
				panic("consensus: a committed entry would be replaced")
			}
			r.log.truncateFrom(entry.Index)
		}
		r.log.append(entry)
	}
}

func (r *Replica) answerSnapshot(now time.Time, message *Message) {
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

// Compact replaces the committed entries up to index by the application's state
// at that index. An index not committed, or compacted already, changes nothing.
func (r *Replica) Compact(index uint64, data []byte) {
	if index > r.commit || index <= r.log.snapshot.Index {
		return
	}
	r.log.compact(index, data)
}

// LogLength returns how many entries are kept after the snapshot.
func (r *Replica) LogLength() int { return len(r.log.entries) }
