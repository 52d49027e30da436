package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/identity"
)

// Config holds a replica's timings and bounds.
type Config struct {
	// HeartbeatInterval is the period of the leader's heartbeats.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum time without a leader's message before a follower starts an
	// election; the maximum is twice that. It must be several heartbeats, or a slow network causes
	// needless elections.
	ElectionTimeout time.Duration
	// EntriesPerMessage is the maximum number of entries per append request.
	EntriesPerMessage int
}

// DefaultLANConfig is for round-trip times of a few milliseconds.
func DefaultLANConfig() Config {
	return Config{
		HeartbeatInterval: 150 * time.Millisecond,
		ElectionTimeout:   900 * time.Millisecond,
		EntriesPerMessage: 64,
	}
}

// Role is a replica's current Raft role.
type Role uint8

const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// progress is the leader's view of one voter.
type progress struct {
	// match is the last index known to be replicated, next the first index to send.
	match uint64
	next  uint64
	// round is the latest broadcast that the voter has answered.
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
	// lastLeaderMessage is when a message of this term's leader was last received (section 4.2.3).
	lastLeaderMessage time.Time

	progress      map[identity.Identity]*progress
	round         uint64
	nextHeartbeat time.Time
	// quorumDeadline is when a leader steps down unless a quorum has answered a broadcast numbered
	// quorumRound or later.
	quorumDeadline time.Time
	quorumRound    uint64

	output Output
}

// NewReplica returns a replica without a group. All randomness comes from random.
func NewReplica(config Config, self identity.Identity, random *rand.Rand) *Replica {
	return &Replica{config: config, self: self, random: random}
}

// Bootstrap makes this replica the only voter of a new group with a snapshot of data at index. The
// caller must ensure that no other replica founds a group for the same fleet.
func (r *Replica) Bootstrap(now time.Time, epoch Epoch, index uint64, data []byte) Output {
	r.reset(epoch, Snapshot{Term: 1, Index: index, Voters: []identity.Identity{r.self}, Data: data})
	r.becomeCandidate(now)
	return r.takeOutput()
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

// Epoch returns the epoch of the replica's group, zero without one.
func (r *Replica) Epoch() Epoch { return r.epoch }

func (r *Replica) Role() Role { return r.role }

func (r *Replica) Term() uint64 { return r.term }

// Leader returns the leader of the current term, zero if it is unknown.
func (r *Replica) Leader() identity.Identity { return r.leader }

// Commit returns the highest index known to be committed.
func (r *Replica) Commit() uint64 { return r.commit }

// CommittedEntry returns the term and index of the last entry known to be committed.
func (r *Replica) CommittedEntry() (uint64, uint64) {
	term, _ := r.log.termAt(r.commit)
	return term, r.commit
}

// Voters returns the latest voters in the log, committed or not.
func (r *Replica) Voters() []identity.Identity { return r.log.votersAt(r.log.lastIndex()) }

// LastEntry returns the term and index of the last entry in the log.
func (r *Replica) LastEntry() (uint64, uint64) { return r.log.lastTerm(), r.log.lastIndex() }

// IsVoter reports whether the replica is among the latest voters.
func (r *Replica) IsVoter() bool { return slices.Contains(r.Voters(), r.self) }

func (r *Replica) takeOutput() Output {
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
	jitter := time.Duration(r.random.Int64N(int64(r.config.ElectionTimeout)))
	r.electionDeadline = now.Add(r.config.ElectionTimeout + jitter)
}

// Tick runs all timers. Call it at least once per HeartbeatInterval.
func (r *Replica) Tick(now time.Time) Output {
	if r.role == Leader {
		r.tickLeader(now)
		return r.takeOutput()
	}
	if r.electionDeadline.IsZero() {
		r.resetElectionDeadline(now)
	}
	if !now.Before(r.electionDeadline) && r.IsVoter() {
		r.becomePreCandidate(now)
	}
	return r.takeOutput()
}

// Step handles one message. It ignores messages to other identities and, except from a leader of a
// higher epoch, those of other groups.
func (r *Replica) Step(now time.Time, message *Message) Output {
	if message.To != r.self {
		return Output{}
	}
	fromLeader := message.Kind == AppendRequest || message.Kind == SnapshotRequest
	if fromLeader && message.Epoch.Number > r.epoch.Number {
		// A replica without a group joins the sender's group, and a replica of a group that was
		// replaced by a forced recovery joins the recovered one.
		r.reset(message.Epoch, Snapshot{})
	}
	if message.Epoch != r.epoch {
		return Output{}
	}
	if message.Term > r.term && r.mayRaiseTerm(now, message) {
		r.becomeFollower(now, message.Term, identity.Identity{})
	}
	r.dispatch(now, message)
	return r.takeOutput()
}

// mayRaiseTerm keeps a removed or partitioned replica from disrupting a group with an active leader
// (section 4.2.3): pre-vote requests never raise the term, and vote requests do not within the
// election timeout after the leader's last message.
func (r *Replica) mayRaiseTerm(now time.Time, message *Message) bool {
	switch message.Kind {
	case PreVoteRequest:
		return false
	case PreVoteReply:
		// A granted pre-vote carries the requested term, which has not begun.
		return !message.Accepted
	case VoteRequest:
		return !r.hasActiveLeader(now)
	default:
		return true
	}
}

func (r *Replica) hasActiveLeader(now time.Time) bool {
	if r.role == Leader {
		return true
	}
	return !r.leader.IsZero() && now.Sub(r.lastLeaderMessage) < r.config.ElectionTimeout
}

func (r *Replica) dispatch(now time.Time, message *Message) {
	switch message.Kind {
	case PreVoteRequest:
		r.handlePreVoteRequest(now, message)
	case PreVoteReply:
		r.handlePreVoteReply(now, message)
	case VoteRequest:
		r.handleVoteRequest(now, message)
	case VoteReply:
		r.handleVoteReply(now, message)
	case AppendRequest:
		r.handleAppendRequest(now, message)
	case AppendReply:
		r.handleAppendReply(now, message)
	case SnapshotRequest:
		r.handleSnapshotRequest(now, message)
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
