package loadshare

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// HeadBytes is the encoded length of a Head: the daemon's address (4 bytes) and port (2),
	// the report's number (4) and its age in units of ageUnit (1), big-endian.
	HeadBytes = 11
	// MostHeads bounds the reports in one message: so many heads alone fill it.
	MostHeads = MaximumBytes / HeadBytes
	ageUnit   = 100 * time.Millisecond
)

// Head is the header of a report.
type Head struct {
	From   netip.AddrPort
	Number uint32
	// At is when the report was made, with a resolution of ageUnit.
	At time.Time
}

// Append appends the encoded head to a buffer.
func (h Head) Append(now time.Time, to []byte) []byte {
	host := h.From.Addr().As4()
	to = append(to, host[:]...)
	to = binary.BigEndian.AppendUint16(to, h.From.Port())
	to = binary.BigEndian.AppendUint32(to, h.Number)
	age := max(0, now.Sub(h.At)) / ageUnit
	return append(to, byte(min(age, math.MaxUint8)))
}

// DecodeHead decodes the head at the start of a report, which must have at least HeadBytes.
func DecodeHead(now time.Time, encoded []byte) Head {
	return Head{
		From:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(encoded)), binary.BigEndian.Uint16(encoded[4:])),
		Number: binary.BigEndian.Uint32(encoded[6:]),
		At:     now.Add(-time.Duration(encoded[10]) * ageUnit),
	}
}

// Turn is the priority of a report: reports that were sent fewer times go first, and among
// equals the latest.
type Turn struct {
	Sent int
	At   time.Time
}

// waiting is a daemon whose report may be sent, with that report's priority.
type waiting struct {
	from netip.AddrPort
	turn Turn
}

func (w *waiting) compare(other *waiting) int {
	return cmp.Or(cmp.Compare(w.turn.Sent, other.turn.Sent), other.turn.At.Compare(w.turn.At), w.from.Compare(other.from))
}

// InTurn returns the daemons whose reports are sent next, in order of priority and at most as
// many as given. It does not sort all reports, as a message holds only a few of them.
func InTurn[R any](reports map[netip.AddrPort]R, most int, turnOf func(R) Turn) []netip.AddrPort {
	first := make([]waiting, 0, most+1)
	for from, report := range reports {
		next := waiting{from, turnOf(report)}
		if len(first) == most && next.compare(&first[most-1]) >= 0 {
			continue
		}
		place, _ := slices.BinarySearchFunc(first, next, func(held, wanted waiting) int { return held.compare(&wanted) })
		first = slices.Insert(first, place, next)
		first = first[:min(most, len(first))]
	}
	daemons := make([]netip.AddrPort, len(first))
	for index := range first {
		daemons[index] = first[index].from
	}
	return daemons
}
