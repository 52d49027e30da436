// Package consensus implements Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) for
// replicas without stable storage. It does no I/O and has no clock, goroutine or global randomness:
// the caller passes in time and messages, and sends the messages returned.
//
// In place of stable storage (section 3.8), a replica gets a new identity at every start: a
// restarted replica, which has lost its votes and log, is no voter under its new identity. One
// replica founds a group as its only voter; the group grows by single-server changes (section 4.1).
// Committed entries are returned at once, as there is nothing to persist first.
package consensus

import (
	"github.com/passtray/passtray/internal/identity"
)

// Epoch identifies a group of voters. Number increases only with a forced recovery. Group is random,
// so that groups founded independently differ.
type Epoch struct {
	Number uint32 `cbor:"1,keyasint"`
	Group  uint64 `cbor:"2,keyasint"`
}

// IsZero reports whether the epoch is that of no group.
func (e Epoch) IsZero() bool { return e.Number == 0 }

// EntryKind is the type of an entry's content.
type EntryKind uint8

const (
	// EntryEmpty is the first entry of a new leader's term (section 6.4).
	EntryEmpty EntryKind = iota
	// EntryData holds application data.
	EntryData
	// EntryVoters holds the new full set of voters.
	EntryVoters
)

// Entry is one entry of the replicated log.
type Entry struct {
	Term   uint64              `cbor:"1,keyasint"`
	Index  uint64              `cbor:"2,keyasint"`
	Kind   EntryKind           `cbor:"3,keyasint,omitempty"`
	Data   []byte              `cbor:"4,keyasint,omitempty"`
	Voters []identity.Identity `cbor:"5,keyasint,omitempty"`
}

// Snapshot replaces all entries up to Index.
type Snapshot struct {
	Term   uint64              `cbor:"1,keyasint"`
	Index  uint64              `cbor:"2,keyasint"`
	Voters []identity.Identity `cbor:"3,keyasint"`
	Data   []byte              `cbor:"4,keyasint"`
}

// MessageKind is the type of a message.
type MessageKind uint8

const (
	// PreVoteRequest asks whether the receiver would vote for the sender (section 9.6).
	PreVoteRequest MessageKind = iota + 1
	PreVoteReply
	// VoteRequest requests a vote (section 3.4).
	VoteRequest
	VoteReply
	// AppendRequest carries entries, or none as a heartbeat (section 3.5).
	AppendRequest
	// AppendReply answers an AppendRequest or a SnapshotRequest.
	AppendReply
	// SnapshotRequest carries a snapshot (section 5).
	SnapshotRequest
)

type Message struct {
	Epoch Epoch             `cbor:"1,keyasint"`
	Kind  MessageKind       `cbor:"2,keyasint"`
	Term  uint64            `cbor:"3,keyasint"`
	From  identity.Identity `cbor:"4,keyasint"`
	To    identity.Identity `cbor:"5,keyasint"`
	// LogTerm and LogIndex identify the candidate's last entry in a vote or pre-vote request, and the
	// entry before Entries in an append request. In an append reply, LogIndex is the last matching
	// index if accepted, otherwise the index from which the leader should retry.
	LogTerm  uint64 `cbor:"6,keyasint,omitempty"`
	LogIndex uint64 `cbor:"7,keyasint,omitempty"`
	// Commit is the leader's commit index.
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Entries []Entry `cbor:"9,keyasint,omitempty"`
	// Accepted is whether a vote was granted, or an append or a snapshot accepted.
	Accepted bool `cbor:"10,keyasint,omitempty"`
	// Round numbers the leader's broadcasts. Replies echo it, by which the leader confirms its quorum
	// (section 6.2).
	Round    uint64    `cbor:"11,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"12,keyasint,omitempty"`
}

// Output is the result of one call.
type Output struct {
	// Messages are to be sent. They may be lost, duplicated, delayed or reordered.
	Messages []Message
	// Installed is a snapshot that replaces the application's state, to be applied before Committed.
	Installed *Snapshot
	// Committed are newly committed entries, in log order.
	Committed []Entry
}
