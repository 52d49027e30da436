// Package consensus is the Raft algorithm (Ongaro, "Consensus: Bridging Theory
// and Practice", 2014) as a library without I/O, for replicas that keep nothing
// on disk. It holds no clock, socket, goroutine or global randomness: the caller
// passes time and messages in and carries outputs out.
//
// Three things differ from the dissertation. A replica is named by an identity
// that changes at every start, so that one which forgot its votes is a new
// replica and counts for nothing under its old name (section 3.8 asks for
// stable storage instead). A group is founded by one replica alone and grows by
// single-server changes (section 4.1). Entries are handed out as soon as they
// are committed; there is nothing to persist first.
package consensus

import (
	"github.com/passtray/passtray/internal/identity"
)

// Epoch names a group of voters. Number grows only by a forced recovery; Group
// is random, so that two groups founded apart cannot mistake each other.
type Epoch struct {
	Number uint32 `cbor:"1,keyasint"`
	Group  uint64 `cbor:"2,keyasint"`
}

// IsZero reports whether no group is known.
func (e Epoch) IsZero() bool { return e.Number == 0 }

// EntryKind says what an entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryEmpty is what a new leader commits first (section 6.4).
	EntryEmpty EntryKind = iota
	// EntryData holds the application's bytes.
	EntryData
	// EntryVoters holds a new set of voters.
	EntryVoters
)

// Entry is one place of the replicated log.
type Entry struct {
	Term   uint64              `cbor:"1,keyasint"`
	Index  uint64              `cbor:"2,keyasint"`
	Kind   EntryKind           `cbor:"3,keyasint,omitempty"`
	Data   []byte              `cbor:"4,keyasint,omitempty"`
	Voters []identity.Identity `cbor:"5,keyasint,omitempty"`
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Term   uint64              `cbor:"1,keyasint"`
	Index  uint64              `cbor:"2,keyasint"`
	Voters []identity.Identity `cbor:"3,keyasint"`
	Data   []byte              `cbor:"4,keyasint"`
}

// MessageKind says what a message asks or answers.
type MessageKind uint8

// The kinds of messages.
const (
	// PreVoteRequest asks whether a candidacy could succeed (section 9.6).
	PreVoteRequest MessageKind = iota + 1
	// PreVoteReply answers it.
	PreVoteReply
	// VoteRequest asks for a vote (section 3.4).
	VoteRequest
	// VoteReply answers it.
	VoteReply
	// AppendRequest carries entries, or none as a heartbeat (section 3.5).
	AppendRequest
	// AppendReply answers it.
	AppendReply
	// SnapshotRequest carries a snapshot (section 5).
	SnapshotRequest
)

// Message goes from one replica to another.
type Message struct {
	Epoch Epoch             `cbor:"1,keyasint"`
	Kind  MessageKind       `cbor:"2,keyasint"`
	Term  uint64            `cbor:"3,keyasint"`
	From  identity.Identity `cbor:"4,keyasint"`
	To    identity.Identity `cbor:"5,keyasint"`
	// LogTerm and LogIndex are the candidate's last entry in a vote request,
	// and the entry before Entries in an append request. In an append reply
	// LogIndex is the last index known to match, or the hint where to retry.
	LogTerm  uint64 `cbor:"6,keyasint,omitempty"`
	LogIndex uint64 `cbor:"7,keyasint,omitempty"`
	// Commit is the leader's commit index.
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Entries []Entry `cbor:"9,keyasint,omitempty"`
	// Accepted says yes to a vote or an append.
	Accepted bool `cbor:"10,keyasint,omitempty"`
	// Round counts the leader's heartbeats; replies echo it, which confirms the
	// leader's hold on its quorum (section 6.2).
	Round    uint64    `cbor:"11,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"12,keyasint,omitempty"`
}

// Output is what one call of Step, Tick, Propose or the like has brought forth.
type Output struct {
	// Messages are to be sent; each may be lost, doubled or late.
	Messages []Message
	// Installed is a snapshot that replaces the application's state, before
	// Committed.
	Installed *Snapshot
	// Committed are entries now safe to apply, in order.
	Committed []Entry
}
