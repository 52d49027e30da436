package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/identity"
)

// Config holds a replica's timings and bounds.
type Config struct {
	// HeartbeatInterval is how often a leader speaks to each voter. Shorter
	// finds a dead leader sooner and costs more messages.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest silence after which a follower tries to
	// lead; the longest is twice that. It must be several heartbeats, or a slow
	// network causes needless elections.
	ElectionTimeout time.Duration
	// EntriesPerMessage bounds an append, and so a message's size.
	EntriesPerMessage int
}

// DefaultLANConfig suits replicas within a few milliseconds of each other.
func DefaultLANConfig() Config {
	return Config{
		HeartbeatInterval: 150 * time.Millisecond,
		ElectionTimeout:   900 * time.Millisecond,
		EntriesPerMessage: 64,
	}
}

// Role is what a replica is at the moment.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// progress is what the leader knows of one voter.
type progress struct {
	match uint64
	next  uint64
	// round is the newest heartbeat the voter has answered.
	round uint64
}

// Replica is one member of a group. It is not safe for concurrent use.
type Replica struct {
	config Config
	self   identity.Identity
	random *rand.Rand

	epoch    Epoch
	term     uint64
	votedFor identity.Identity
	log      replicatedLog
	commit   uint64

	role             Role
	leader           identity.Identity
	votes            map[identity.Identity]bool
	electionDeadline time.Time
	// heardLeader is when a leader of this term last spoke (section 4.2.3).
	heardLeader time.Time

	progress      map[identity.Identity]*progress
	round         uint64
	nextHeartbeat time.Time
	// quorumDeadline is when a leader that heard no quorum steps down.
	quorumDeadline time.Time
	quorumRound    uint64

	output Output
}

// NewReplica makes a replica that belongs to no group yet. All randomness comes
// from random.
func NewReplica(config Config, self identity.Identity, random *rand.Rand) *Replica {
	return &Replica{config: config, self: self, random: random}
}

// Found makes this replica the only voter of a new group whose state is data.
// Whoever calls it must know that no other replica does so for the same fleet.
func (r *Replica) Found(now time.Time, epoch Epoch, index uint64, data []byte) Output {
	r.reset(epoch, Snapshot{Term: 1, Index: index, Voters: []identity.Identity{r.self}, Data: data})
	r.becomeCandidate(now)
	return r.take()
}

func (r *Replica) reset(epoch Epoch, snapshot Snapshot) {
	r.epoch = epoch
	r.term = snapshot.Term
	r.votedFor = identity.Identity{}
	r.leader = identity.Identity{}
	r.role = Follower
	r.log = replicatedLog{snapshot: snapshot}
	r.commit = snapshot.Index
}

// Epoch returns the group this replica belongs to.
func (r *Replica) Epoch() Epoch { return r.epoch }

// Role returns what the replica is at the moment.
func (r *Replica) Role() Role { return r.role }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.term }

// Leader returns the leader of the current term, zero if unknown.
func (r *Replica) Leader() identity.Identity { return r.leader }

// Commit returns the highest index known to be committed.
func (r *Replica) Commit() uint64 { return r.commit }

// CommittedEntry returns term and index of the last entry known to be committed.
func (r *Replica) CommittedEntry() (uint64, uint64) {
	term, _ := r.log.termAt(r.commit)
	return term, r.commit
}

// Voters returns the newest voters in the log.
func (r *Replica) Voters() []identity.Identity { return r.log.votersAt(r.log.lastIndex()) }

// LastEntry returns term and index of the last entry held.
func (r *Replica) LastEntry() (uint64, uint64) { return r.log.lastTerm(), r.log.lastIndex() }

// IsVoter reports whether the replica counts in the newest voters.
func (r *Replica) IsVoter() bool { return slices.Contains(r.Voters(), r.self) }

func (r *Replica) take() Output {
	output := r.output
	r.output = Output{}
	return output
}

func (r *Replica) send(message Message) {
	message.Epoch = r.epoch
	message.From = r.self
	if message.Term == 0 {
		message.Term = r.term
	}
	r.output.Messages = append(r.output.Messages, message)
}

func (r *Replica) resetElectionDeadline(now time.Time) {
	spread := time.Duration(r.random.Int64N(int64(r.config.ElectionTimeout)))
	r.electionDeadline = now.Add(r.config.ElectionTimeout + spread)
}

// Tick lets time pass. It is to be called at least every HeartbeatInterval.
func (r *Replica) Tick(now time.Time) Output {
	if r.role == Leader {
		r.tickLeader(now)
		return r.take()
	}
	if r.electionDeadline.IsZero() {
		r.resetElectionDeadline(now)
	}
	if !now.Before(r.electionDeadline) && r.IsVoter() {
		r.becomePreCandidate(now)
	}
	return r.take()
}

// Step handles one message. A message of another group, or for another run of
// this daemon, changes nothing.
func (r *Replica) Step(now time.Time, message *Message) Output {
	if message.To != r.self {
		return Output{}
	}
	fromLeader := message.Kind == AppendRequest || message.Kind == SnapshotRequest
	if fromLeader && message.Epoch.Number > r.epoch.Number {
		// A replica without a group joins the one that speaks to it, and one of
		// a group that was given up follows the group recovered from it.
		r.reset(message.Epoch, Snapshot{})
	}
	if message.Epoch != r.epoch {
		return Output{}
	}
	if message.Term > r.term && r.mayRaiseTerm(now, message) {
		r.becomeFollower(now, message.Term, identity.Identity{})
	}
	r.dispatch(now, message)
	return r.take()
}

// mayRaiseTerm keeps a removed or cut-off replica from disturbing a group whose
// leader is alive (section 4.2.3): pre-votes never raise the term, and votes do
// not while a leader has been heard within the election timeout.
func (r *Replica) mayRaiseTerm(now time.Time, message *Message) bool {
	switch message.Kind {
	case PreVoteRequest:
		return false
	case PreVoteReply:
		// A granted pre-vote carries the term asked for, which no one is in.
		return !message.Accepted
	case VoteRequest:
		return !r.leaderIsFresh(now)
	default:
		return true
	}
}

func (r *Replica) leaderIsFresh(now time.Time) bool {
	if r.role == Leader {
		return true
	}
	return !r.leader.IsZero() && now.Sub(r.heardLeader) < r.config.ElectionTimeout
}

func (r *Replica) dispatch(now time.Time, message *Message) {
	switch message.Kind {
	case PreVoteRequest:
		r.answerPreVote(now, message)
	case PreVoteReply:
		r.countPreVote(now, message)
	case VoteRequest:
		r.answerVote(now, message)
	case VoteReply:
		r.countVote(now, message)
	case AppendRequest:
		r.answerAppend(now, message)
	case AppendReply:
		r.countAppend(now, message)
	case SnapshotRequest:
		r.answerSnapshot(now, message)
	}
}

func (r *Replica) becomeFollower(now time.Time, term uint64, leader identity.Identity) {
	if term > r.term {
		r.term = term
		r.votedFor = identity.Identity{}
	}
	r.role = Follower
	r.leader = leader
	r.progress = nil
	r.resetElectionDeadline(now)
}
