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
)

const (
	// ReportInterval is how often a daemon reports its observations.
	ReportInterval = 3 * time.Second
	// passedOnFor is how long a report is forwarded. Its observations stay valid longer, decaying.
	passedOnFor = 5 * time.Second
	// mostReporters is the maximum number of reporters stored per target, mostReports the maximum
	// number of reports kept for forwarding.
	mostReporters = 64
	mostReports   = 256
	// mostWeight is the maximum number of observations counted per daemon, so that a daemon that
	// claims many does not dominate.
	mostWeight = 24
)

// entry is one daemon's report on one target.
type entry struct {
	target loadshare.Mark
	// times is the mean logarithm of the latency ratio (time to first byte over the usual one).
	times  float64
	weight float64
}

// report is one daemon's latest report.
type report struct {
	number  uint32
	at      time.Time
	entries []entry
	// sent counts how often it was sent from here.
	sent int
}

// reporter is a daemon's IPv4 address and port packed into six bytes, to save memory.
type reporter uint64

func reporterOf(address netip.AddrPort) reporter {
	host := address.Addr().As4()
	return reporter(binary.BigEndian.Uint32(host[:]))<<16 | reporter(address.Port())
}

// told is the latest observation of a target from one reporter.
type told struct {
	at            int64 // Unix nanoseconds
	times, weight float32
}

func (t told) weightAt(now time.Time) float64 {
	age := time.Duration(now.UnixNano() - t.at)
	return float64(t.weight) * math.Exp(-max(0, age.Seconds())/memory.Seconds())
}

// Exchange is one daemon's part of the exchange of observations. It is not safe for concurrent use.
type Exchange struct {
	self    netip.AddrPort
	number  uint32
	nextOwn time.Time
	meter   *Meter
	reports map[netip.AddrPort]*report
	heard   map[loadshare.Mark]map[reporter]told
}

// NewExchange returns an exchange for the daemon with the given IPv4 address. number is the initial
// report number, which must exceed those of the daemon's earlier runs.
func NewExchange(self netip.AddrPort, number uint32) *Exchange {
	return &Exchange{
		self: self, number: number, meter: NewMeter(),
		reports: map[netip.AddrPort]*report{}, heard: map[loadshare.Mark]map[reporter]told{},
	}
}

// Note records the latency ratio of an answer: its time to first byte over the usual one of its
// route.
func (e *Exchange) Note(now time.Time, target loadshare.Mark, times float64) {
	e.meter.Note(now, target, times)
}

// Tick drops expired reports and observations and renews this daemon's report, every ReportInterval.
func (e *Exchange) Tick(now time.Time) {
	if now.Before(e.nextOwn) {
		return
	}
	e.nextOwn = now.Add(ReportInterval)
	maps.DeleteFunc(e.reports, func(_ netip.AddrPort, held *report) bool { return now.Sub(held.at) >= passedOnFor })
	e.forget(now)
	e.number++
	if entries := e.ownEntries(now); len(entries) > 0 {
		e.reports[e.self] = &report{number: e.number, at: now, entries: entries}
	}
}

func (e *Exchange) forget(now time.Time) {
	for target, reporters := range e.heard {
		maps.DeleteFunc(reporters, func(_ reporter, held told) bool { return held.weightAt(now) < leastWeight })
		if len(reporters) == 0 {
			delete(e.heard, target)
		}
	}
}

// ownEntries returns the targets with the most observations since they were last reported.
func (e *Exchange) ownEntries(now time.Time) []entry {
	var news []loadshare.Mark
	e.meter.seen(now, func(target loadshare.Mark, held *observed) {
		if held.untold > 0 {
			news = append(news, target)
		}
	})
	slices.SortFunc(news, func(a, b loadshare.Mark) int {
		return cmp.Or(cmp.Compare(e.meter.targets[b].untold, e.meter.targets[a].untold), cmp.Compare(a, b))
	})
	entries := make([]entry, 0, mostEntries)
	for _, target := range news[:min(len(news), mostEntries)] {
		held := e.meter.targets[target]
		held.untold = 0
		entries = append(entries, entry{target: target, times: held.sum / held.weight, weight: min(held.weight, mostWeight)})
	}
	return entries
}

// take stores a report if it is newer than the stored one of the same daemon.
func (e *Exchange) take(now time.Time, from netip.AddrPort, heard *report) {
	held := e.reports[from]
	isNews := held == nil && len(e.reports) < mostReports || held != nil && heard.number > held.number
	if from == e.self || !isNews || now.Sub(heard.at) >= passedOnFor {
		return
	}
	e.reports[from] = heard
	for _, entry := range heard.entries {
		e.hear(now, reporterOf(from), heard.at, entry)
	}
}

func (e *Exchange) hear(now time.Time, from reporter, at time.Time, entry entry) {
	reporters := e.heard[entry.target]
	if reporters == nil {
		if len(e.heard) >= mostTargets {
			return
		}
		reporters = map[reporter]told{}
		e.heard[entry.target] = reporters
	}
	if _, isKnown := reporters[from]; !isKnown && len(reporters) >= mostReporters {
		delete(reporters, faintest(now, reporters))
	}
	reporters[from] = told{at: at.UnixNano(), times: float32(entry.times), weight: float32(min(entry.weight, mostWeight))}
}

// faintest returns the reporter with the lowest weight.
func faintest(now time.Time, reporters map[reporter]told) reporter {
	return slices.MinFunc(slices.Collect(maps.Keys(reporters)), func(a, b reporter) int {
		return cmp.Or(cmp.Compare(reporters[a].weightAt(now), reporters[b].weightAt(now)), cmp.Compare(a, b))
	})
}
