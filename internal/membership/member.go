// Package membership is the SWIM protocol (Das, Gupta, Motivala, "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership", 2002)
// as a library without I/O: random probes, indirect probes, suspicion with
// refutation, and updates that travel on the probes. The caller passes time and
// datagrams in and carries datagrams out.
package membership

import (
	"net/netip"
	"time"

	"github.com/passtray/passtray/internal/identity"
)

// Status is what the group believes of a member. Within one incarnation a
// higher status overrides a lower one.
type Status uint8

// The statuses.
const (
	Alive Status = iota + 1
	Suspect
	Dead
	// Left is a member that said good-bye; it never comes back under the same
	// identity.
	Left
)

// Member is one daemon as the group knows it.
type Member struct {
	Identity identity.Identity `cbor:"1,keyasint"`
	// DataAddress is where other daemons hand packets over.
	DataAddress netip.AddrPort `cbor:"2,keyasint"`
	Zone        string         `cbor:"3,keyasint"`
	// Incarnation grows when the member refutes a suspicion of itself.
	Incarnation uint64 `cbor:"4,keyasint"`
	Status      Status `cbor:"5,keyasint"`
}

// IsLive reports whether the member counts as present.
func (m *Member) IsLive() bool { return m.Status == Alive || m.Status == Suspect }

// overrides reports whether news of a member replaces what is held of the same
// identity (section 4.2 of the paper).
func (m *Member) overrides(held *Member) bool {
	if held.Status == Left {
		return false
	}
	if m.Status == Left {
		return true
	}
	if m.Incarnation != held.Incarnation {
		return m.Incarnation > held.Incarnation
	}
	return m.Status > held.Status
}

// Config holds the protocol's timings and bounds.
type Config struct {
	// ProbeInterval is how often one member is probed. Shorter finds failures
	// sooner and costs more bytes.
	ProbeInterval time.Duration
	// ProbeTimeout is how long an answer may take before others are asked to
	// probe. It must exceed a round trip.
	ProbeTimeout time.Duration
	// IndirectProbes is how many others are asked.
	IndirectProbes int
	// SuspicionMultiplier times log10 of the group's size, at least 1, times
	// ProbeInterval is how long a suspect may refute. Longer means fewer members
	// wrongly declared dead, and dead ones noticed later.
	SuspicionMultiplier int
	// RetransmitMultiplier times log10 of the group's size, rounded up, is how
	// often one update is passed on by each member. Fewer leaves some members to
	// the comparison of whole lists; more costs bytes.
	RetransmitMultiplier int
	// GossipInterval is how often pending updates are sent beside the probes.
	GossipInterval time.Duration
	// GossipFanout is to how many members.
	GossipFanout int
	// BytesPerSecond and BurstBytes bound what is sent beyond bare probes.
	BytesPerSecond int
	BurstBytes     int
	// MaximumDatagram bounds one datagram in bytes, to stay under the path's
	// maximum transmission unit.
	MaximumDatagram int
	// DeadRetention is how long a dead identity is remembered, so that late news
	// cannot bring it back.
	DeadRetention time.Duration
	// RejoinInterval is how often a live group tries the seeds it does not know.
	RejoinInterval time.Duration
}

// DefaultLANConfig suits a region of a few milliseconds.
func DefaultLANConfig() Config {
	return Config{
		ProbeInterval:        time.Second,
		ProbeTimeout:         300 * time.Millisecond,
		IndirectProbes:       3,
		SuspicionMultiplier:  3,
		RetransmitMultiplier: 4,
		GossipInterval:       200 * time.Millisecond,
		GossipFanout:         3,
		BytesPerSecond:       3000,
		BurstBytes:           12000,
		MaximumDatagram:      1200,
		DeadRetention:        10 * time.Minute,
		RejoinInterval:       10 * time.Second,
	}
}
