package liveness

import (
	"cmp"
	"net/netip"
	"time"
)

// Kind is the type of a report.
type Kind uint8

// Kinds are sent between daemons; do not renumber them.
const (
	// Unresponsive reports to judges that callers of the sender retransmit unacknowledged data.
	Unresponsive Kind = 1
	// Suspected broadcasts a suspicion, which any daemon that has seen activity since refutes.
	Suspected Kind = 2
	// Alive refutes a suspicion or verdict: the sender has seen activity.
	Alive Kind = 3
	// Dead broadcasts a verdict.
	Dead Kind = 4
)

// Subject is a target or, if Zone is set, a zone.
type Subject struct {
	Target uint64 `cbor:"1,keyasint,omitempty"`
	Zone   string `cbor:"7,keyasint,omitempty"`
}

func (s Subject) compare(other Subject) int {
	return cmp.Or(cmp.Compare(s.Zone, other.Zone), cmp.Compare(s.Target, other.Target))
}

// Report is a message between daemons on one subject. Reports are idempotent.
type Report struct {
	Subject
	Kind Kind `cbor:"2,keyasint"`
	// AgeMilliseconds is how long before sending the silence began or, for Alive, the last
	// activity was seen.
	AgeMilliseconds uint32 `cbor:"3,keyasint"`
	// The numbers of affected flows and of retransmissions, in reports to judges.
	Flows           int `cbor:"4,keyasint,omitempty"`
	Retransmissions int `cbor:"5,keyasint,omitempty"`
	// Rank is the receiver's rank among the judges, from 0, in reports to judges.
	Rank int `cbor:"6,keyasint,omitempty"`
}

// Age returns AgeMilliseconds as a duration.
func (r *Report) Age() time.Duration { return time.Duration(r.AgeMilliseconds) * time.Millisecond }

// Outgoing is a report with its recipients: the daemon To, the Judges highest-ranked judges of
// the subject, or all daemons if neither is set.
type Outgoing struct {
	Report
	To     netip.AddrPort
	Judges int
}

// Received is a report with its sender.
type Received struct {
	Report
	From netip.AddrPort
}
