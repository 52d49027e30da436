package consensus

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/identity"
)

// Errors of Propose and ProposeVoters, expected in normal operation.
var (
	ErrNotLeader = eris.New("this replica is not the leader")
	// ErrVotersChanging: the last change of voters, or an entry of this term, is not committed yet.
	ErrVotersChanging = eris.New("a change of voters is in progress")
	// ErrNotSingleVoterChange: the change does not add or remove exactly one voter.
	ErrNotSingleVoterChange = eris.New("voters must be added or removed one at a time")
)

func (r *Replica) becomeLeader(now time.Time) {
	r.role = Leader
	r.leader = r.self
	r.progress = map[identity.Identity]*progress{}
	r.round = 0
	r.quorumRound = 0
	r.quorumDeadline = now.Add(r.config.ElectionTimeout)
	// Entries of earlier terms commit only with an entry of this term (section 3.6.2), so a new
	// leader appends an empty one.
	r.appendEntry(now, Entry{Kind: EntryEmpty})
}

func (r *Replica) appendEntry(now time.Time, entry Entry) uint64 {
	entry.Term = r.term
	entry.Index = r.log.lastIndex() + 1
	r.log.append(entry)
	r.syncProgress()
	r.advanceCommit()
	r.broadcast(now)
	return entry.Index
}

// syncProgress adds and removes progress to match the latest voters other than this replica.
func (r *Replica) syncProgress() {
	voters := r.Voters()
	for voter := range r.progress {
		if !slices.Contains(voters, voter) {
			delete(r.progress, voter)
		}
	}
	for _, voter := range voters {
		if r.progress[voter] == nil && voter != r.self {
			r.progress[voter] = &progress{next: r.log.lastIndex()}
		}
	}
}

// Propose appends data to the log and returns its index. The entry is committed when an entry with
// that index and the current term is in Output.Committed, and lost when that entry has another term.
func (r *Replica) Propose(now time.Time, data []byte) (uint64, Output, error) {
	if r.role != Leader {
		return 0, Output{}, ErrNotLeader
	}
	index := r.appendEntry(now, Entry{Kind: EntryData, Data: data})
	return index, r.takeOutput(), nil
}

// ProposeVoters adds or removes one voter. The majorities before and after such a change overlap
// (section 4.1). The leader must have committed an entry of its term and the previous change.
func (r *Replica) ProposeVoters(now time.Time, voters []identity.Identity) (Output, error) {
	if r.role != Leader {
		return Output{}, ErrNotLeader
	}
	term, _ := r.log.termAt(r.commit)
	if term != r.term || r.log.lastVotersIndex() > r.commit {
		return Output{}, ErrVotersChanging
	}
	if len(voters) == 0 || votersDistance(r.Voters(), voters) != 1 {
		return Output{}, ErrNotSingleVoterChange
	}
	r.appendEntry(now, Entry{Kind: EntryVoters, Voters: slices.Clone(voters)})
	return r.takeOutput(), nil
}

func votersDistance(before, after []identity.Identity) int {
	distance := 0
	for _, voter := range before {
		if !slices.Contains(after, voter) {
			distance++
		}
	}
	for _, voter := range after {
		if !slices.Contains(before, voter) {
			distance++
		}
	}
	return distance
}

func (r *Replica) tickLeader(now time.Time) {
	if !now.Before(r.quorumDeadline) {
		if !r.isRoundConfirmed(r.quorumRound) {
			// No quorum within an election timeout: another replica may be the leader by now
			// (section 6.2).
			r.becomeFollower(now, r.term, identity.Identity{})
			return
		}
		r.quorumRound = r.round + 1
		r.quorumDeadline = now.Add(r.config.ElectionTimeout)
	}
	if !now.Before(r.nextHeartbeat) {
		r.broadcast(now)
	}
}

// broadcast sends each other voter its missing entries, or an empty heartbeat.
func (r *Replica) broadcast(now time.Time) {
	r.round++
	r.nextHeartbeat = now.Add(r.config.HeartbeatInterval)
	for _, voter := range r.Voters() {
		if voter != r.self {
			r.sendAppend(voter)
		}
	}
}

func (r *Replica) sendAppend(voter identity.Identity) {
	state := r.progress[voter]
	previous := state.next - 1
	term, found := r.log.termAt(previous)
	if !found || state.next <= r.log.snapshot.Index {
		snapshot := r.log.snapshot
		r.send(Message{Kind: SnapshotRequest, To: voter, Snapshot: &snapshot, Commit: r.commit, Round: r.round})
		return
	}
	r.send(Message{
		Kind: AppendRequest, To: voter, LogTerm: term, LogIndex: previous, Commit: r.commit,
		Entries: r.log.entriesFrom(state.next, r.config.EntriesPerMessage), Round: r.round,
	})
}

func (r *Replica) handleAppendReply(now time.Time, message *Message) {
	state := r.progress[message.From]
	if r.role != Leader || message.Term != r.term || state == nil {
		return
	}
	state.round = max(state.round, message.Round)
	if !message.Accepted {
		state.next = max(state.match+1, min(state.next-1, message.LogIndex+1))
		r.sendAppend(message.From)
	} else if message.LogIndex > state.match {
		state.match = message.LogIndex
		state.next = state.match + 1
		r.advanceCommit()
		if state.next <= r.log.lastIndex() {
			r.sendAppend(message.From)
		}
	}
	r.stepDownIfRemoved(now)
}

// stepDownIfRemoved makes a leader step down once its removal from the voters is committed (section
// 4.2.2).
func (r *Replica) stepDownIfRemoved(now time.Time) {
	if r.role == Leader && !r.IsVoter() && r.commit >= r.log.lastVotersIndex() {
		r.becomeFollower(now, r.term, identity.Identity{})
	}
}

// advanceCommit commits the highest index of this term that a majority has. Entries of earlier terms
// are never committed by counting replicas (section 3.6.2).
func (r *Replica) advanceCommit() {
	for index := r.log.lastIndex(); index > r.commit; index-- {
		if term, _ := r.log.termAt(index); term != r.term {
			return
		}
		isReplicated := r.hasQuorum(func(voter identity.Identity) bool {
			return voter == r.self || r.progress[voter].match >= index
		})
		if isReplicated {
			r.commitTo(index)
			return
		}
	}
}

func (r *Replica) commitTo(index uint64) {
	if index <= r.commit {
		return
	}
	count := int(index - r.commit)
	r.output.Committed = append(r.output.Committed, r.log.entriesFrom(r.commit+1, count)...)
	r.commit = index
}

func (r *Replica) isRoundConfirmed(round uint64) bool {
	return r.hasQuorum(func(voter identity.Identity) bool {
		return voter == r.self || r.progress[voter].round >= round
	})
}
