// Package control makes many daemons act as one: it joins membership, consensus
// and dissemination into one core without I/O. A daemon drives it with sockets,
// the simulator with virtual time.
package control

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/consensus"
	"github.com/passtray/passtray/internal/dissemination"
	"github.com/passtray/passtray/internal/identity"
	"github.com/passtray/passtray/internal/membership"
)

// PeerMessage is what daemons say to each other over authenticated streams.
// Exactly one of the pointers is set.
type PeerMessage struct {
	From           identity.Identity     `cbor:"1,keyasint"`
	Consensus      *consensus.Message    `cbor:"2,keyasint,omitempty"`
	Pull           *Pull                 `cbor:"3,keyasint,omitempty"`
	Update         *dissemination.Update `cbor:"4,keyasint,omitempty"`
	MembersRequest *MembersRequest       `cbor:"5,keyasint,omitempty"`
	Members        *Members              `cbor:"6,keyasint,omitempty"`
	Proposal       *Proposal             `cbor:"7,keyasint,omitempty"`
	ProposalResult *ProposalResult       `cbor:"8,keyasint,omitempty"`
	GrantRequest   *GrantRequest         `cbor:"9,keyasint,omitempty"`
	Grant          *Grant                `cbor:"10,keyasint,omitempty"`
}

// Pull asks for what came after a version.
type Pull struct {
	Have dissemination.Version `cbor:"1,keyasint"`
}

// MembersRequest asks for the members that the asker lacks or holds differently.
type MembersRequest struct {
	// Self is the asker.
	Self membership.Member `cbor:"1,keyasint"`
	// Fingerprints are those of the asker's members, packed.
	Fingerprints []byte `cbor:"2,keyasint"`
}

// Members answers it.
type Members struct {
	Known []membership.Member `cbor:"1,keyasint"`
}

// Proposal asks the leader to commit a change.
type Proposal struct {
	Token  uint64         `cbor:"1,keyasint"`
	Change catalog.Change `cbor:"2,keyasint"`
}

// ProposalStatus says what became of a proposal.
type ProposalStatus uint8

// The proposal statuses.
const (
	// ProposalDecided: Outcome holds the answer.
	ProposalDecided ProposalStatus = iota + 1
	// ProposalNotLeader: ask Leader, if known.
	ProposalNotLeader
	// ProposalNotReady: the group has not grown to its voters yet.
	ProposalNotReady
	// ProposalUnknown: it may or may not have been committed.
	ProposalUnknown
)

// ProposalResult answers a proposal.
type ProposalResult struct {
	Token   uint64            `cbor:"1,keyasint"`
	Status  ProposalStatus    `cbor:"2,keyasint"`
	Outcome catalog.Outcome   `cbor:"3,keyasint"`
	Epoch   consensus.Epoch   `cbor:"4,keyasint"`
	Leader  identity.Identity `cbor:"5,keyasint"`
}

// GrantRequest asks a daemon without a group to let the asker found one.
type GrantRequest struct{}

// Grant answers it.
type Grant struct {
	Granted bool `cbor:"1,keyasint"`
}

// datagramKind is the first byte of every control datagram.
type datagramKind byte

const (
	datagramMembership datagramKind = iota + 1
	datagramStatusQuery
	datagramStatusReply
)

// statusQuery asks a daemon what it has in force.
type statusQuery struct {
	Token uint64 `cbor:"1,keyasint"`
}

// StatusReport is one daemon's state as it reports it.
type StatusReport struct {
	Token    uint64                `cbor:"1,keyasint"`
	Identity identity.Identity     `cbor:"2,keyasint"`
	Version  dissemination.Version `cbor:"3,keyasint"`
	Revision uint64                `cbor:"4,keyasint"`
	Voter    bool                  `cbor:"5,keyasint"`
	Leader   bool                  `cbor:"6,keyasint"`
}

// digest rides on every membership message.
type digest struct {
	Version dissemination.Version `cbor:"1,keyasint"`
	// Renewal grows while a leader holds its quorum; RenewalIndex is the index that
	// was committed when the leader made it.
	Renewal      uint64            `cbor:"2,keyasint,omitempty"`
	RenewalIndex uint64            `cbor:"3,keyasint,omitempty"`
	Leader       identity.Identity `cbor:"4,keyasint,omitempty"`
}

// entryBroadcast spreads one committed entry.
type entryBroadcast struct {
	Epoch consensus.Epoch `cbor:"1,keyasint"`
	Entry consensus.Entry `cbor:"2,keyasint"`
}

func encode(value any) []byte {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		panic(eris.Wrap(err, "a control message always has a CBOR form"))
	}
	return encoded
}

// Datagram is bytes for one peer's control address.
type Datagram struct {
	To    netip.AddrPort
	Bytes []byte
}

// StreamMessage is a message for one peer's control address.
type StreamMessage struct {
	To      netip.AddrPort
	Message PeerMessage
}

// Output is what one call of the core has brought forth.
type Output struct {
	Datagrams []Datagram
	Streams   []StreamMessage
	// ConfigurationChanged and MembersChanged ask the caller to read State and
	// Live again.
	ConfigurationChanged bool
	MembersChanged       bool
	// Results answer Submit.
	Results []ProposalResult
	// Statuses answer RequestStatus.
	Statuses []FleetStatus
	// Events are for the log.
	Events []Event
}

// EventKind says what happened.
type EventKind string

// The kinds of events.
const (
	EventGroupFounded   EventKind = "group founded"
	EventLeaderElected  EventKind = "became leader"
	EventLeaderLost     EventKind = "stopped leading"
	EventVotersChanged  EventKind = "voters changed"
	EventConflict       EventKind = "another group was founded apart"
	EventUnreadable     EventKind = "configuration update unreadable"
	EventLeaseOver      EventKind = "lease over"
	EventLeaseRenewed   EventKind = "lease renewed"
	EventGroupRecovered EventKind = "group recovered by force"
)

// Event is something an operator may want to read in the log.
type Event struct {
	Kind   EventKind
	Detail string
}

// FleetStatus answers RequestStatus.
type FleetStatus struct {
	Token   uint64
	Members []membership.Member
	Reports []StatusReport
}
