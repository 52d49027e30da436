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
	// HeaderBytes is the encoded length of a Header: the daemon's address (4 bytes) and port (2),
	// the report's number (4) and its age in units of ageUnit (1), big-endian.
	HeaderBytes = 11
	// MaxReportsPerMessage bounds the reports in one message: that many headers alone fill it.
	MaxReportsPerMessage = MaxMessageBytes / HeaderBytes
	ageUnit              = 100 * time.Millisecond
)

// Header is the header of a report.
type Header struct {
	From   netip.AddrPort
	Number uint32
	// MadeAt is when the report was made, with a resolution of ageUnit.
	MadeAt time.Time
}

// Append appends the encoded header to a buffer.
func (h Header) Append(now time.Time, to []byte) []byte {
	host := h.From.Addr().As4()
	to = append(to, host[:]...)
	to = binary.BigEndian.AppendUint16(to, h.From.Port())
	to = binary.BigEndian.AppendUint32(to, h.Number)
	age := max(0, now.Sub(h.MadeAt)) / ageUnit
	return append(to, byte(min(age, math.MaxUint8)))
}

// DecodeHeader decodes the header at the start of a report, which must have at least HeaderBytes.
func DecodeHeader(now time.Time, encoded []byte) Header {
	return Header{
		From:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(encoded)), binary.BigEndian.Uint16(encoded[4:])),
		Number: binary.BigEndian.Uint32(encoded[6:]),
		MadeAt: now.Add(-time.Duration(encoded[10]) * ageUnit),
	}
}

// Priority is the priority of a report: reports that were sent fewer times go first, and among
// equals the latest.
type Priority struct {
	TimesSent int
	MadeAt    time.Time
}

// queuedReport is a daemon whose report may be sent, with that report's priority.
type queuedReport struct {
	from     netip.AddrPort
	priority Priority
}

func (q *queuedReport) compare(other *queuedReport) int {
	return cmp.Or(cmp.Compare(q.priority.TimesSent, other.priority.TimesSent), other.priority.MadeAt.Compare(q.priority.MadeAt), q.from.Compare(other.from))
}

// ByPriority returns the daemons whose reports are sent next, in order of priority and at most as
// many as given. It does not sort all reports, as a message holds only a few of them.
func ByPriority[R any](reports map[netip.AddrPort]R, limit int, priorityOf func(R) Priority) []netip.AddrPort {
	queue := make([]queuedReport, 0, limit+1)
	for from, report := range reports {
		next := queuedReport{from, priorityOf(report)}
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
