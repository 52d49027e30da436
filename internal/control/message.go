// Package control is a daemon's control plane: it combines membership (SWIM), consensus (Raft) and
// the dissemination of the configuration. It does no I/O: a daemon runs it with sockets and real time,
// the simulator with a virtual network and virtual time.
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

// PeerMessage is a message between daemons over an authenticated stream. Exactly one of the pointers is
// set.
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

// Pull requests the configuration after a version; an Update answers it if there is a newer one.
type Pull struct {
	Have dissemination.Version `cbor:"1,keyasint"`
}

// MembersRequest requests the members that the requester lacks or has in another state.
type MembersRequest struct {
	// Self is the requester.
	Self membership.Member `cbor:"1,keyasint"`
	// Fingerprints are those of the requester's members, from membership.Group.Fingerprints.
	Fingerprints []byte `cbor:"2,keyasint"`
}

// Members answers a MembersRequest unless there is no difference.
type Members struct {
	Known []membership.Member `cbor:"1,keyasint"`
}

// Proposal requests the leader to commit a change.
type Proposal struct {
	Token  uint64         `cbor:"1,keyasint"`
	Change catalog.Change `cbor:"2,keyasint"`
}

// ProposalStatus is the result of a proposal.
type ProposalStatus uint8

const (
	// ProposalDecided: the change was applied or refused, as in Outcome.
	ProposalDecided ProposalStatus = iota + 1
	// ProposalNotLeader: retry at Leader, if it is known.
	ProposalNotLeader
	// ProposalNotReady: the group has too few voters as yet.
	ProposalNotReady
	// ProposalUnknown: the change may or may not have been committed.
	ProposalUnknown
)

// ProposalResult answers a Proposal.
type ProposalResult struct {
	Token   uint64            `cbor:"1,keyasint"`
	Status  ProposalStatus    `cbor:"2,keyasint"`
	Outcome catalog.Outcome   `cbor:"3,keyasint"`
	Epoch   consensus.Epoch   `cbor:"4,keyasint"`
	Leader  identity.Identity `cbor:"5,keyasint"`
}

// GrantRequest requests a daemon's grant to found a group.
type GrantRequest struct{}

// Grant answers a GrantRequest.
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

// statusQuery requests a daemon's StatusReport.
type statusQuery struct {
	Token uint64 `cbor:"1,keyasint"`
}

// StatusReport is one daemon's own report of its configuration and role.
type StatusReport struct {
	Token    uint64                `cbor:"1,keyasint"`
	Identity identity.Identity     `cbor:"2,keyasint"`
	Version  dissemination.Version `cbor:"3,keyasint"`
	Revision uint64                `cbor:"4,keyasint"`
	Voter    bool                  `cbor:"5,keyasint"`
	Leader   bool                  `cbor:"6,keyasint"`
}

// digest is piggybacked on every membership message.
type digest struct {
	Version dissemination.Version `cbor:"1,keyasint"`
	// Renewal is the number of the latest lease renewal; RenewalIndex is the leader's commit index
	// when it was issued, Leader who issued it.
	Renewal      uint64            `cbor:"2,keyasint,omitempty"`
	RenewalIndex uint64            `cbor:"3,keyasint,omitempty"`
	Leader       identity.Identity `cbor:"4,keyasint,omitempty"`
}

// entryBroadcast is one committed entry, sent by gossip.
type entryBroadcast struct {
	Epoch consensus.Epoch `cbor:"1,keyasint"`
	Entry consensus.Entry `cbor:"2,keyasint"`
}

func encode(value any) []byte {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		panic(eris.Wrap(err, "encode control message"))
	}
	return encoded
}

// Datagram is to be sent to a peer's control address.
type Datagram struct {
	To    netip.AddrPort
	Bytes []byte
}

// StreamMessage is to be sent on the stream to a peer's control address.
type StreamMessage struct {
	To      netip.AddrPort
	Message PeerMessage
}

// Output is the result of one call.
type Output struct {
	Datagrams []Datagram
	Streams   []StreamMessage
	// ConfigurationChanged and MembersChanged report that State and Live may return other values.
	ConfigurationChanged bool
	MembersChanged       bool
	// Results answer Submit.
	Results []ProposalResult
	// Statuses answer RequestStatus.
	Statuses []FleetStatus
	// Events are to be logged.
	Events []Event
}

// EventKind is an event's log message.
type EventKind string

const (
	EventGroupFounded   EventKind = "group founded"
	EventLeaderElected  EventKind = "became leader"
	EventLeaderLost     EventKind = "stopped leading"
	EventVotersChanged  EventKind = "voters changed"
	EventConflict       EventKind = "peer is in a conflicting group"
	EventInvalidUpdate  EventKind = "invalid configuration update"
	EventLeaseExpired   EventKind = "lease expired"
	EventLeaseRenewed   EventKind = "lease renewed"
	EventGroupRecovered EventKind = "group recovered by force"
)

// Event is to be logged, with Detail as a field.
type Event struct {
	Kind   EventKind
	Detail string
}

// FleetStatus answers RequestStatus. Members without a report did not respond.
type FleetStatus struct {
	Token   uint64
	Members []membership.Member
	Reports []StatusReport
}
