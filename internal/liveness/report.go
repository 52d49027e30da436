package liveness

import (
	"cmp"
	"net/netip"
	"time"
)

// Kind is what a report says of a target.
type Kind uint8

// The kinds. They travel between daemons, so that their numbers stay.
const (
	// Silent tells judges that callers of the sender sent data again which was not
	// acknowledged.
	Silent Kind = 1
	// Asked asks all whether anybody has heard from the subject since.
	Asked Kind = 2
	// Alive says that the sender has.
	Alive Kind = 3
	// Dead says that several hold the subject for silent, and nobody has.
	Dead Kind = 4
)

// Subject is what may be silent: one target or, where Zone is set, all targets of a zone
// together.
type Subject struct {
	// Target is the target's identifier.
	Target uint64 `cbor:"1,keyasint,omitempty"`
	Zone   string `cbor:"7,keyasint,omitempty"`
}

func (s Subject) compare(other Subject) int {
	return cmp.Or(cmp.Compare(s.Zone, other.Zone), cmp.Compare(s.Target, other.Target))
}

// Report is what one daemon tells another of a subject. Repeats do no harm.
type Report struct {
	Subject
	Kind Kind `cbor:"2,keyasint"`
	// AgeMilliseconds is how long before the report the silence began or, for Alive, the
	// last sign of life was seen.
	AgeMilliseconds uint32 `cbor:"3,keyasint"`
	// Flows is from how many flows a Silent report comes, and Sends how often their
	// callers sent again.
	Flows int `cbor:"4,keyasint,omitempty"`
	Sends int `cbor:"5,keyasint,omitempty"`
	// Rank is the receiver's among the judges of a Silent report, from 0.
	Rank int `cbor:"6,keyasint,omitempty"`
}

// Age is how long before the report what it tells of was.
func (r *Report) Age() time.Duration { return time.Duration(r.AgeMilliseconds) * time.Millisecond }

// Outgoing is a report with whom it is for: one daemon, the first Judges of a subject, or,
// with neither, all.
type Outgoing struct {
	Report
	To     netip.AddrPort
	Judges int
}

// Received is a report with the daemon that it is from.
type Received struct {
	Report
	From netip.AddrPort
}
