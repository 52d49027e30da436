package targetspeed

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/loadshare"
	"github.com/passtray/passtray/internal/monotonic"
)

const (
	// ReportInterval is how often a daemon reports its observations.
	ReportInterval = 3 * time.Second
	// forwardTTL is how long a report is forwarded. Its observations stay valid longer, decaying.
	forwardTTL = 5 * time.Second
	// maxReporters is the maximum number of reporters stored per target, maxReports the maximum
	// number of reports kept for forwarding.
	maxReporters = 64
	maxReports   = 256
	// maxWeight is the maximum number of observations counted per daemon, so that a daemon that
	// claims many does not dominate.
	maxWeight = 24
)

// entry is one daemon's report on one target.
type entry struct {
	target loadshare.Mark
	// logRatio is the mean logarithm of the latency ratio (time to first byte over the usual one).
	logRatio float64
	weight   float64
}

// report is one daemon's latest report.
type report struct {
	number  uint32
	at      time.Time
	entries []entry
	// sent counts how often it was sent from here.
	sent int
}

// reporterID is a daemon's IPv4 address and port in the lower six bytes, to save memory.
type reporterID uint64

func reporterIDOf(address netip.AddrPort) reporterID {
	host := address.Addr().As4()
	return reporterID(binary.BigEndian.Uint32(host[:]))<<16 | reporterID(address.Port())
}

// storedObservation is the latest observation of a target from one reporter.
type storedObservation struct {
	at               int64 // nanoseconds of package monotonic
	logRatio, weight float32
}

func (t storedObservation) weightAt(now time.Time) float64 {
	age := time.Duration(monotonic.Nanoseconds(now) - t.at)
	return float64(t.weight) * math.Exp(-max(0, age.Seconds())/decayTime.Seconds())
}

// Exchange is one daemon's part of the exchange of observations. It is not safe for concurrent use.
type Exchange struct {
	self       netip.AddrPort
	number     uint32
	nextReport time.Time
	meter      *Meter
	reports    map[netip.AddrPort]*report
	received   map[loadshare.Mark]map[reporterID]storedObservation
}

// NewExchange returns an exchange for the daemon with the given IPv4 address. number is the initial
// report number, which must exceed those of the daemon's earlier runs.
func NewExchange(self netip.AddrPort, number uint32) *Exchange {
	return &Exchange{
		self: self, number: number, meter: NewMeter(),
		reports: map[netip.AddrPort]*report{}, received: map[loadshare.Mark]map[reporterID]storedObservation{},
	}
}

// Record records the latency ratio of a response: its time to first byte over the usual one of its
// route.
func (e *Exchange) Record(now time.Time, target loadshare.Mark, ratio float64) {
	e.meter.Record(now, target, ratio)
}

// Tick drops expired reports and observations and renews this daemon's report, every ReportInterval.
func (e *Exchange) Tick(now time.Time) {
	if now.Before(e.nextReport) {
		return
	}
	e.nextReport = now.Add(ReportInterval)
	maps.DeleteFunc(e.reports, func(_ netip.AddrPort, stored *report) bool { return now.Sub(stored.at) >= forwardTTL })
	e.dropDecayed(now)
	e.number++
	if entries := e.ownEntries(now); len(entries) > 0 {
		e.reports[e.self] = &report{number: e.number, at: now, entries: entries}
	}
}

func (e *Exchange) dropDecayed(now time.Time) {
	for target, reporters := range e.received {
		maps.DeleteFunc(reporters, func(_ reporterID, stored storedObservation) bool { return stored.weightAt(now) < minWeight })
		if len(reporters) == 0 {
			delete(e.received, target)
		}
	}
}

// ownEntries returns the targets with the most observations since they were last reported.
func (e *Exchange) ownEntries(now time.Time) []entry {
	var pending []loadshare.Mark
	e.meter.forEach(now, func(target loadshare.Mark, observed *decayedSum) {
		if observed.unreported > 0 {
			pending = append(pending, target)
		}
	})
	slices.SortFunc(pending, func(a, b loadshare.Mark) int {
		return cmp.Or(cmp.Compare(e.meter.targets[b].unreported, e.meter.targets[a].unreported), cmp.Compare(a, b))
	})
	entries := make([]entry, 0, maxEntries)
	for _, target := range pending[:min(len(pending), maxEntries)] {
		observed := e.meter.targets[target]
		observed.unreported = 0
		entries = append(entries, entry{target: target, logRatio: observed.sum / observed.weight, weight: min(observed.weight, maxWeight)})
	}
	return entries
}

// store stores a report if it is newer than the stored one of the same daemon.
func (e *Exchange) store(now time.Time, from netip.AddrPort, received *report) {
	stored := e.reports[from]
	isNewer := stored == nil && len(e.reports) < maxReports || stored != nil && received.number > stored.number
	if from == e.self || !isNewer || now.Sub(received.at) >= forwardTTL {
		return
	}
	e.reports[from] = received
	for _, entry := range received.entries {
		e.storeEntry(now, reporterIDOf(from), received.at, entry)
	}
}

func (e *Exchange) storeEntry(now time.Time, from reporterID, at time.Time, entry entry) {
	reporters := e.received[entry.target]
	if reporters == nil {
		if len(e.received) >= maxTargets {
			return
		}
		reporters = map[reporterID]storedObservation{}
		e.received[entry.target] = reporters
	}
	if _, isKnown := reporters[from]; !isKnown && len(reporters) >= maxReporters {
		delete(reporters, lowestWeight(now, reporters))
	}
	reporters[from] = storedObservation{at: monotonic.Nanoseconds(at), logRatio: float32(entry.logRatio), weight: float32(min(entry.weight, maxWeight))}
}

// lowestWeight returns the reporter with the lowest weight.
func lowestWeight(now time.Time, reporters map[reporterID]storedObservation) reporterID {
	return slices.MinFunc(slices.Collect(maps.Keys(reporters)), func(a, b reporterID) int {
		return cmp.Or(cmp.Compare(reporters[a].weightAt(now), reporters[b].weightAt(now)), cmp.Compare(a, b))
	})
}
