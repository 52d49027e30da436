// Package loadshare exchanges among the daemons of a zone how many flows each has open at which
// target, since in a large fleet one daemon sees too few of a target's flows to balance by its own
// counts. Each daemon makes a numbered report of its counts and gossips the reports it knows, with
// a bounded message size whatever the size of the fleet. Reports that are not renewed expire. The
// package does no I/O and has no clock.
package loadshare

import (
	"encoding/binary"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// ReportInterval is how often a daemon renews its report.
	ReportInterval = time.Second
	// lifetime is how long a report is valid; it covers a few intervals, as gossip loses and
	// delays some reports.
	lifetime = 5 * time.Second
	// MaxMessageBytes bounds the reports in one message. Two messages per gossip round of 300 ms
	// make at most 2 KB/s.
	MaxMessageBytes = 300
	// maxTargets bounds the targets in one report. A daemon with flows open at more targets
	// reports none: with longer reports fewer fit into a message, and the known counts become
	// so old that they mislead.
	maxTargets = 16
	// tooManyTargets replaces the number of targets in a report of such a daemon.
	tooManyTargets = 255
	// OtherKind replaces the number of targets in reports of another kind, which follow those
	// on open flows in a message; decoding stops at them.
	OtherKind = 254
	// maxReports bounds the daemons whose reports are kept.
	maxReports = 1024
)

// Mark identifies a target in reports: the upper half of its token. Two targets of a zone
// rarely share a mark; if they do, each counts with the flows of both.
type Mark uint16

func MarkOf(token uint32) Mark { return Mark(token >> 16) }

// Flows is the number of open flows at a target, at most 255.
type Flows struct {
	Mark  Mark
	Count uint8
}

// report is the latest report of a daemon.
type report struct {
	number uint32
	flows  []Flows
	// isPartial means that the daemon has flows open at more than maxTargets targets.
	isPartial bool
	madeAt    time.Time
	// timesSent is how often this daemon sent the report.
	timesSent int
}

// Exchange holds the reports known to one daemon. It is not safe for concurrent use.
type Exchange struct {
	self         netip.AddrPort
	number       uint32
	nextReportAt time.Time
	reports      map[netip.AddrPort]*report
}

// New returns the exchange of the daemon at self, which must be an IPv4 address. The numbers of
// its reports start after number, which must exceed those of its earlier runs.
func New(self netip.AddrPort, number uint32) *Exchange {
	return &Exchange{self: self, number: number, reports: map[netip.AddrPort]*report{}}
}

// Tick drops expired reports and renews this daemon's own when due; count then returns the
// number of open flows by token.
func (e *Exchange) Tick(now time.Time, count func() map[uint32]int) {
	if now.Before(e.nextReportAt) {
		return
	}
	e.nextReportAt = now.Add(ReportInterval)
	maps.DeleteFunc(e.reports, func(_ netip.AddrPort, known *report) bool { return now.Sub(known.madeAt) >= lifetime })
	e.number++
	own := &report{number: e.number, madeAt: now}
	if counts := count(); len(counts) > maxTargets {
		own.isPartial = true
	} else {
		own.flows = flowsOf(counts)
	}
	e.reports[e.self] = own
}

// flowsOf converts counts by token to a slice in a fixed order.
func flowsOf(counts map[uint32]int) []Flows {
	flows := make([]Flows, 0, len(counts))
	for _, token := range slices.Sorted(maps.Keys(counts)) {
		flows = append(flows, Flows{Mark: MarkOf(token), Count: uint8(min(counts[token], math.MaxUint8))})
	}
	return flows
}

// Totals returns the number of open flows at each target according to all valid reports. It
// reports false if some daemon has more targets than it can report: the totals then lack that
// daemon's flows, and a daemon's own counts, which are high in this case, are the better measure.
func (e *Exchange) Totals(now time.Time) (totals map[Mark]int, areComplete bool) {
	totals = map[Mark]int{}
	for _, known := range e.reports {
		if now.Sub(known.madeAt) >= lifetime {
			continue
		}
		if known.isPartial {
			return nil, false
		}
		for _, flows := range known.flows {
			totals[flows.Mark] += int(flows.Count)
		}
	}
	return totals, true
}

// An encoded report consists of its header, the number of targets (1 byte), and for each target
// its mark (2) and count (1), all big-endian.
const (
	reportHeaderBytes = HeaderBytes + 1
	targetBytes       = 3
)

// Message returns encoded reports to send: those sent the fewest times first, then the latest.
func (e *Exchange) Message(now time.Time) []byte { return e.MessageWithin(now, MaxMessageBytes) }

// MessageWithin is like Message with a smaller limit in bytes, which leaves room for other
// data.
func (e *Exchange) MessageWithin(now time.Time, limit int) []byte {
	addresses := ByPriority(e.reports, MaxReportsPerMessage, func(r *report) Priority { return Priority{TimesSent: r.timesSent, MadeAt: r.madeAt} })
	var message []byte
	for _, address := range addresses {
		known := e.reports[address]
		if len(message)+reportHeaderBytes+targetBytes*len(known.flows) > limit {
			break
		}
		known.timesSent++
		message = known.append(now, message, address)
	}
	return message
}

func (r *report) append(now time.Time, to []byte, address netip.AddrPort) []byte {
	to = Header{From: address, Number: r.number, MadeAt: r.madeAt}.Append(now, to)
	count := byte(len(r.flows))
	if r.isPartial {
		count = tooManyTargets
	}
	to = append(to, count)
	for _, flows := range r.flows {
		to = binary.BigEndian.AppendUint16(to, uint16(flows.Mark))
		to = append(to, flows.Count)
	}
	return to
}

// HandleMessage merges the reports in a message and returns the number of bytes at its end that could
// not be decoded.
func (e *Exchange) HandleMessage(now time.Time, message []byte) (unread int) {
	for len(message) >= reportHeaderBytes {
		count := int(message[reportHeaderBytes-1])
		if count == tooManyTargets {
			count = 0
		}
		length := reportHeaderBytes + targetBytes*count
		if count > maxTargets || len(message) < length {
			break
		}
		e.add(now, message[:length])
		message = message[length:]
	}
	return len(message)
}

// add stores a report that is newer than the known one of the same daemon.
func (e *Exchange) add(now time.Time, encoded []byte) {
	header := DecodeHeader(now, encoded)
	received := &report{number: header.Number, madeAt: header.MadeAt, isPartial: encoded[reportHeaderBytes-1] == tooManyTargets}
	known := e.reports[header.From]
	isNewer := known == nil && len(e.reports) < maxReports || known != nil && received.number > known.number
	if header.From == e.self || !isNewer || now.Sub(received.madeAt) >= lifetime {
		return
	}
	for rest := encoded[reportHeaderBytes:]; len(rest) > 0; rest = rest[targetBytes:] {
		received.flows = append(received.flows, Flows{Mark: Mark(binary.BigEndian.Uint16(rest)), Count: rest[2]})
	}
	e.reports[header.From] = received
}
