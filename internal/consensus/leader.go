package consensus

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/identity"
)

// Errors of Propose and ProposeVoters. They are outcomes, not faults.
var (
	// ErrNotLeader: ask the leader instead.
	ErrNotLeader = eris.New("this replica does not lead")
	// ErrVotersChanging: the last change of voters is not committed yet.
	ErrVotersChanging = eris.New("a change of voters is under way")
	// ErrVotersStep: more than one voter would come or go at once.
	ErrVotersStep = eris.New("voters change one at a time")
)

func (r *Replica) becomeLeader(now time.Time) {
	r.role = Leader
	r.leader = r.self
	r.progress = map[identity.Identity]*progress{}
	r.round = 0
	r.quorumRound = 0
	r.quorumDeadline = now.Add(r.config.ElectionTimeout)
	// Entries of earlier terms commit only behind one of this term
	// (section 3.6.2), so a new leader appends an empty one at once.
	r.appendEntry(now, Entry{Kind: EntryEmpty})
}

func (r *Replica) appendEntry(now time.Time, entry Entry) uint64 {
	entry.Term = r.term
	entry.Index = r.log.lastIndex() + 1
	r.log.append(entry)
	r.alignProgress()
	r.advanceCommit()
	r.broadcast(now)
	return entry.Index
}

// alignProgress keeps one progress for each of the newest voters.
func (r *Replica) alignProgress() {
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

// Propose appends data to the log. It is committed once its index comes back in
// Output.Committed with the same term, and lost if another entry does.
func (r *Replica) Propose(now time.Time, data []byte) (uint64, Output, error) {
	if r.role != Leader {
		return 0, Output{}, ErrNotLeader
	}
	index := r.appendEntry(now, Entry{Kind: EntryData, Data: data})
	return index, r.take(), nil
}

// ProposeVoters changes the voters by one. Two majorities one server apart
// always meet (section 4.1), provided an entry of this term was committed
// before, which the commit index shows.
func (r *Replica) ProposeVoters(now time.Time, voters []identity.Identity) (Output, error) {
	if r.role != Leader {
		return Output{}, ErrNotLeader
	}
	term, _ := r.log.termAt(r.commit)
	if term != r.term || r.log.lastVotersIndex() > r.commit {
		return Output{}, ErrVotersChanging
	}
	if len(voters) == 0 || votersDistance(r.Voters(), voters) != 1 {
		return Output{}, ErrVotersStep
	}
	r.appendEntry(now, Entry{Kind: EntryVoters, Voters: slices.Clone(voters)})
	return r.take(), nil
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
		if !r.roundIsConfirmed(r.quorumRound) {
			// No quorum for an election timeout: somebody else may lead by now
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

// broadcast sends each voter what it lacks, and a heartbeat in any case.
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
	term, kept := r.log.termAt(previous)
	if !kept || state.next <= r.log.snapshot.Index {
		snapshot := r.log.snapshot
		r.send(Message{Kind: SnapshotRequest, To: voter, Snapshot: &snapshot, Commit: r.commit, Round: r.round})
		return
	}
	r.send(Message{
		Kind: AppendRequest, To: voter, LogTerm: term, LogIndex: previous, Commit: r.commit,
		Entries: r.log.from(state.next, r.config.EntriesPerMessage), Round: r.round,
	})
}

func (r *Replica) countAppend(now time.Time, message *Message) {
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

// stepDownIfRemoved ends the rule of a leader that its own committed change of
// voters has removed (section 4.2.2).
func (r *Replica) stepDownIfRemoved(now time.Time) {
	if r.role == Leader && !r.IsVoter() && r.commit >= r.log.lastVotersIndex() {
		r.becomeFollower(now, r.term, identity.Identity{})
	}
}

// advanceCommit commits the highest index of this term that a majority holds.
// An earlier term's entry never commits by counting (section 3.6.2).
func (r *Replica) advanceCommit() {
	for index := r.log.lastIndex(); index > r.commit; index-- {
		if term, _ := r.log.termAt(index); term != r.term {
			return
		}
		held := r.hasQuorum(func(voter identity.Identity) bool {
			return voter == r.self || r.progress[voter].match >= index
		})
		if held {
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
	r.output.Committed = append(r.output.Committed, r.log.from(r.commit+1, count)...)
	r.commit = index
}

func (r *Replica) roundIsConfirmed(round uint64) bool {
	return r.hasQuorum(func(voter identity.Identity) bool {
		return voter == r.self || r.progress[voter].round >= round
	})
}
