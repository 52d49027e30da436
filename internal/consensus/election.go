package consensus

import (
	"time"

	"github.com/passtray/passtray/internal/identity"
)

func (r *Replica) becomePreCandidate(now time.Time) {
	r.role = PreCandidate
	r.leader = identity.Identity{}
	r.startElection(now, PreVoteRequest, r.term+1)
}

func (r *Replica) becomeCandidate(now time.Time) {
	r.role = Candidate
	r.term++
	r.votedFor = r.self
	r.leader = identity.Identity{}
	r.startElection(now, VoteRequest, r.term)
}

// startElection votes for itself and requests the votes of the other voters.
func (r *Replica) startElection(now time.Time, kind MessageKind, term uint64) {
	r.votes = map[identity.Identity]bool{r.self: true}
	r.resetElectionDeadline(now)
	for _, voter := range r.Voters() {
		if voter == r.self {
			continue
		}
		r.send(Message{
			Kind: kind, Term: term, To: voter,
			LogTerm: r.log.lastTerm(), LogIndex: r.log.lastIndex(),
		})
	}
	r.checkElection(now)
}

// checkElection proceeds to the next role once a majority of the latest voters has granted its vote.
func (r *Replica) checkElection(now time.Time) {
	if !r.hasQuorum(func(voter identity.Identity) bool { return r.votes[voter] }) {
		return
	}
	if r.role == PreCandidate {
		r.becomeCandidate(now)
		return
	}
	r.becomeLeader(now)
}

// hasQuorum reports whether predicate is true for a majority of the latest voters.
func (r *Replica) hasQuorum(predicate func(identity.Identity) bool) bool {
	voters := r.Voters()
	count := 0
	for _, voter := range voters {
		if predicate(voter) {
			count++
		}
	}
	return count > len(voters)/2
}

// isUpToDate is the election restriction of section 3.6.1: a leader must have every committed entry,
// so a voter rejects a candidate whose log is less up-to-date than its own.
func (r *Replica) isUpToDate(message *Message) bool {
	if message.LogTerm != r.log.lastTerm() {
		return message.LogTerm > r.log.lastTerm()
	}
	return message.LogIndex >= r.log.lastIndex()
}

func (r *Replica) handlePreVoteRequest(now time.Time, message *Message) {
	accepted := message.Term > r.term && !r.hasActiveLeader(now) && r.isUpToDate(message)
	reply := Message{Kind: PreVoteReply, To: message.From, Accepted: accepted}
	if accepted {
		reply.Term = message.Term
	}
	r.send(reply)
}

func (r *Replica) handlePreVoteReply(now time.Time, message *Message) {
	if r.role != PreCandidate || !message.Accepted || message.Term != r.term+1 {
		return
	}
	r.votes[message.From] = true
	r.checkElection(now)
}

func (r *Replica) handleVoteRequest(now time.Time, message *Message) {
	if message.Term < r.term {
		r.send(Message{Kind: VoteReply, To: message.From})
		return
	}
	if message.Term > r.term {
		// The term was not raised because the leader is active: ignore the request (section 4.2.3).
		return
	}
	canVote := r.votedFor.IsZero() || r.votedFor == message.From
	accepted := canVote && r.isUpToDate(message)
	if accepted {
		r.votedFor = message.From
		r.resetElectionDeadline(now)
	}
	r.send(Message{Kind: VoteReply, To: message.From, Accepted: accepted})
}

func (r *Replica) handleVoteReply(now time.Time, message *Message) {
	if r.role != Candidate || !message.Accepted || message.Term != r.term {
		return
	}
	r.votes[message.From] = true
	r.checkElection(now)
}
