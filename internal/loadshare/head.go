package loadshare

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// HeadBytes is the length of a Head on its way: the daemon's address (4 bytes) and port
	// (2), the report's number (4) and its age in units of ageUnit (1), big-endian.
	HeadBytes = 11
	ageUnit   = 100 * time.Millisecond
)

// Head is what every report of one daemon to its zone begins with.
type Head struct {
	From   netip.AddrPort
	Number uint32
	// At is when the report was made, to ageUnit.
	At time.Time
}

// Append writes the head behind what is there.
func (h Head) Append(now time.Time, to []byte) []byte {
	host := h.From.Addr().As4()
	to = append(to, host[:]...)
	to = binary.BigEndian.AppendUint16(to, h.From.Port())
	to = binary.BigEndian.AppendUint32(to, h.Number)
	age := max(0, now.Sub(h.At)) / ageUnit
	return append(to, byte(min(age, math.MaxUint8)))
}

// DecodeHead reads a head from the first HeadBytes of a report.
func DecodeHead(now time.Time, encoded []byte) Head {
	return Head{
		From:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(encoded)), binary.BigEndian.Uint16(encoded[4:])),
		Number: binary.BigEndian.Uint32(encoded[6:]),
		At:     now.Add(-time.Duration(encoded[10]) * ageUnit),
	}
}

// Turn is when a report is to be passed on: after those that were less often, and, of as
// many times, after later ones.
type Turn struct {
	Sent int
	At   time.Time
}

// InTurn returns the daemons whose reports are held, in the order in which these are to be
// passed on.
func InTurn[R any](reports map[netip.AddrPort]R, turnOf func(R) Turn) []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(reports), func(a, b netip.AddrPort) int {
		one, other := turnOf(reports[a]), turnOf(reports[b])
		return cmp.Or(cmp.Compare(one.Sent, other.Sent), other.At.Compare(one.At), a.Compare(b))
	})
}
