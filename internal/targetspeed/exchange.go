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
	// ReportInterval is how often a daemon tells what it saw. Of a zone with 22 daemons all
	// reports pass within it.
	ReportInterval = 3 * time.Second
	// passedOnFor is how long a report is passed on. What it tells counts on, and fades.
	passedOnFor = 5 * time.Second
	// mostReporters bounds what is kept of a target, and mostReports the reports that wait
	// to be passed on.
	mostReporters = 64
	mostReports   = 256
	// mostWeight is how many observations of one daemon count at most, so that one which
	// claims many does not decide.
	mostWeight = 24
)

// entry is what one daemon tells of one target.
type entry struct {
	target loadshare.Mark
	// times is the mean logarithm of how many times as long as usual answers took.
	times  float64
	weight float64
}

// report is what one daemon told at a time.
type report struct {
	number  uint32
	at      time.Time
	entries []entry
	// sent is how often it was passed on here.
	sent int
}

// reporter is a daemon's address and port in six bytes: there are as many as told.
type reporter uint64

func reporterOf(address netip.AddrPort) reporter {
	host := address.Addr().As4()
	return reporter(binary.BigEndian.Uint32(host[:]))<<16 | reporter(address.Port())
}

// told is what counts of a reporter on a target.
type told struct {
	at            int64 // Unix nanoseconds
	times, weight float32
}

func (t told) weightAt(now time.Time) float64 {
	age := time.Duration(now.UnixNano() - t.at)
	return float64(t.weight) * math.Exp(-max(0, age.Seconds())/memory.Seconds())
}

// Exchange is one daemon's part. It is not safe for concurrent use.
type Exchange struct {
	self    netip.AddrPort
	number  uint32
	nextOwn time.Time
	meter   *Meter
	reports map[netip.AddrPort]*report
	heard   map[loadshare.Mark]map[reporter]told
}

// NewExchange makes the part of a daemon that others know by an address of the fourth
// version. number is where its reports begin; it must exceed those of its earlier runs.
func NewExchange(self netip.AddrPort, number uint32) *Exchange {
	return &Exchange{
		self: self, number: number, meter: NewMeter(),
		reports: map[netip.AddrPort]*report{}, heard: map[loadshare.Mark]map[reporter]told{},
	}
}

// Note takes in that an answer of a target took so many times as long to begin as is usual
// for its route.
func (e *Exchange) Note(now time.Time, target loadshare.Mark, times float64) {
	e.meter.Note(now, target, times)
}

// Tick drops what has faded, and renews this daemon's report if it is time for that.
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

// ownEntries returns the targets of which most was seen since they were told.
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

// take keeps a report that is newer than the one that is held of the same daemon.
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

// faintest is the reporter whose word counts least.
func faintest(now time.Time, reporters map[reporter]told) reporter {
	return slices.MinFunc(slices.Collect(maps.Keys(reporters)), func(a, b reporter) int {
		return cmp.Or(cmp.Compare(reporters[a].weightAt(now), reporters[b].weightAt(now)), cmp.Compare(a, b))
	})
}
