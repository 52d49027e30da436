package targetspeed

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/passtray/passtray/internal/loadshare"
)

// Wire format of a report, all numbers big-endian: the header of a loadshare report, a byte that
// marks a speed report, the number of targets (1), and for each target its mark (2), the logarithm of
// the latency ratio as a signed multiple of logUnit (1), and the number of observations (1).
//
// Speed reports follow the open-flow reports of loadshare in a message. A daemon that does not know
// them stops reading there.
const (
	headBytes  = loadshare.HeaderBytes + 2
	entryBytes = 4
	logUnit    = 1.0 / 64
	// maxEntries is the maximum number of targets per report.
	maxEntries = 20
	// MaxMessageBytes is the maximum size of the speed reports in a message, enough for one full
	// report and about a third of the maximum size of a message within the zone (loadshare.MaxMessageBytes).
	MaxMessageBytes = headBytes + entryBytes*maxEntries
)

// Message returns reports to send or forward: the least often sent ones first, and of those the
// latest.
func (e *Exchange) Message(now time.Time) []byte {
	addresses := loadshare.ByPriority(e.reports, loadshare.MaxReportsPerMessage, func(r *report) loadshare.Priority { return loadshare.Priority{TimesSent: r.sent, MadeAt: r.at} })
	var message []byte
	for _, address := range addresses {
		stored := e.reports[address]
		if now.Sub(stored.at) >= forwardTTL {
			continue
		}
		if len(message)+headBytes+entryBytes*len(stored.entries) > MaxMessageBytes {
			break
		}
		stored.sent++
		message = stored.append(now, message, address)
	}
	return message
}

func (r *report) append(now time.Time, buf []byte, address netip.AddrPort) []byte {
	buf = loadshare.Header{From: address, Number: r.number, MadeAt: r.at}.Append(now, buf)
	buf = append(buf, loadshare.OtherKind, byte(len(r.entries)))
	for _, entry := range r.entries {
		buf = binary.BigEndian.AppendUint16(buf, uint16(entry.target))
		buf = append(buf, byte(int8(math.Round(entry.logRatio/logUnit))), byte(math.Ceil(entry.weight)))
	}
	return buf
}

// HandleMessage handles a message and returns the number of bytes at its end that could not be decoded.
func (e *Exchange) HandleMessage(now time.Time, message []byte) (unread int) {
	for len(message) >= headBytes && message[headBytes-2] == loadshare.OtherKind {
		count := int(message[headBytes-1])
		length := headBytes + entryBytes*count
		if count > maxEntries || len(message) < length {
			break
		}
		from, received := decode(now, message[:length])
		e.store(now, from, received)
		message = message[length:]
	}
	return len(message)
}

func decode(now time.Time, encoded []byte) (netip.AddrPort, *report) {
	header := loadshare.DecodeHeader(now, encoded)
	received := &report{number: header.Number, at: header.MadeAt}
	for rest := encoded[headBytes:]; len(rest) > 0; rest = rest[entryBytes:] {
		received.entries = append(received.entries, entry{
			target:   loadshare.Mark(binary.BigEndian.Uint16(rest)),
			logRatio: float64(int8(rest[2])) * logUnit,
			weight:   float64(rest[3]),
		})
	}
	return header.From, received
}
