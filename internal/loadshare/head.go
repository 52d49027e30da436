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

// queuedReport is a daemon whose report may be sent, with that report's priority.
type queuedReport struct {
	from netip.AddrPort
	turn Turn
}

func (q *queuedReport) compare(other *queuedReport) int {
	return cmp.Or(cmp.Compare(q.turn.Sent, other.turn.Sent), other.turn.At.Compare(q.turn.At), q.from.Compare(other.from))
}

// InTurn returns the daemons whose reports are sent next, in order of priority and at most as
// many as given. It does not sort all reports, as a message holds only a few of them.
func InTurn[R any](reports map[netip.AddrPort]R, limit int, turnOf func(R) Turn) []netip.AddrPort {
	queue := make([]queuedReport, 0, limit+1)
	for from, report := range reports {
		next := queuedReport{from, turnOf(report)}
		if len(queue) == limit && next.compare(&queue[limit-1]) >= 0 {
			continue
		}
		position, _ := slices.BinarySearchFunc(queue, next, func(element, target queuedReport) int { return element.compare(&target) })
		queue = slices.Insert(queue, position, next)
		queue = queue[:min(limit, len(queue))]
	}
	daemons := make([]netip.AddrPort, len(queue))
	for index := range queue {
		daemons[index] = queue[index].from
	}
	return daemons
}
