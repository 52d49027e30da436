package followed

import (
	"fmt"
	"time"

	"github.com/passtray/passtray/internal/storeview"
)

const (
	// minUsableTargets is the number of open targets of each routed service with which a daemon
	// serves new flows before it knows the rest.
	minUsableTargets = 16
	// maxPagesUntilUsable is the number of pages of targets after which a part counts as usable in
	// any case: a routed service may have few targets, or none.
	maxPagesUntilUsable = 5
	// firstPageSpreadFactor is the multiple of the store's latency over which daemons that start
	// together spread their first page of targets. A page is several times as long as the
	// configuration, whose latency shows how many daemons share the store's link.
	firstPageSpreadFactor = 4
	// pageLatencyFactor is the mean pause between two pages in multiples of the store's latency. The
	// store then has an answer in progress for at most one in pageLatencyFactor+1 of the daemons,
	// however many there are, and stays responsive to others.
	pageLatencyFactor = 3
	// pageLatencyFactorLacking replaces it while a routed service lacks targets. It still lets the
	// first pages of other daemons pass.
	pageLatencyFactorLacking = 1
	// maxPagePause bounds the pause between two pages, so that every daemon completes its list.
	maxPagePause = 4 * time.Second
	// latencyTimeoutFactor is the minimum time that a call waits for its answer in multiples of the
	// store's latency, up to maxLatencyTimeout.
	latencyTimeoutFactor = 4
	maxLatencyTimeout    = 1600 * time.Millisecond
)

// incrementalList is a list whose pages are merged as they arrive, so that a daemon without peers
// serves new flows from a part of a large content: the configuration and orders, and the targets
// after startKey. The rest follows at the pace that the store bears. A part is never passed on to
// peers, and what it lacks does not count as removed.
type incrementalList struct {
	// startKey is where the list of targets begins and ends. Each daemon draws its own, so that
	// all daemons together send flows to all targets.
	startKey string
	// pages is the number of pages of targets read.
	pages int
	// hasAllServices reports that minUsableTargets targets of each routed service are known,
	// isUsable that new flows are served from the part, even if it lacks a service.
	hasAllServices, isUsable bool
}

// shouldListIncrementally reports whether to begin an incremental list now. A daemon that reads
// early on behalf of its peers reads on instead.
func (f *Follower) shouldListIncrementally(now time.Time) bool {
	if f.incremental != nil || f.paused || f.phase != phaseListing || f.isComplete() || f.config.Keys == nil {
		return false
	}
	isReadingEarly := f.memberCount > 1 && f.readsEarly
	if !f.avoidsCongestion || isReadingEarly || now.Before(f.incrementalFrom) {
		return false
	}
	if f.memberCount <= 1 && f.storeLatency == 0 {
		return true // the first answer may be late because it is large
	}
	isBusy := f.inFlight != nil || len(f.ranges) > 0
	return f.isContentLarge && !isBusy
}

// isReadingForPeers reports whether this daemon is the one, or one of the few, that read a congested
// store first to supply their peers.
func (f *Follower) isReadingForPeers() bool {
	return f.memberCount > 1 && (f.readsEarly || f.isDesignated)
}

// isAwaitingPeers reports whether this daemon waits to hear from a peer before it begins an
// incremental list. A list of the whole content, begun meanwhile, would only delay those of others.
func (f *Follower) isAwaitingPeers(now time.Time) bool {
	mayListIncrementally := f.avoidsCongestion && f.isContentLarge && f.config.Keys != nil && f.incremental == nil
	isListStarted := f.inFlight != nil || len(f.pages) > 0
	return mayListIncrementally && f.phase == phaseListing && !f.isComplete() && !isListStarted &&
		f.memberCount <= 1 && now.Before(f.incrementalFrom)
}

// startIncrementalList replaces the list in progress by an incremental one.
func (f *Follower) startIncrementalList(now time.Time) {
	f.abandonCalls()
	f.resetPages()
	f.incremental = &incrementalList{startKey: f.config.Keys.KeyAt(f.random.Float64())}
	f.nextCallAt = now
}

// startTargetRanges begins with the targets, once the configuration and orders are known.
func (f *Follower) startTargetRanges(now time.Time) {
	start := f.incremental.startKey
	f.part = partTargets
	f.ranges = []*listRange{{afterKey: start}, {lastKey: start}}
	f.listWatch.revision = f.listRevision
	f.routesConfirmedAt = f.sentAt
	f.nextCallAt = now
	if f.storeLatency >= minCongestedLatency && !f.incremental.isUsable {
		f.nextCallAt = now.Add(time.Duration(f.random.Float64() * firstPageSpreadFactor * float64(f.storeLatency)))
	}
}

// mergePage merges a page of an incremental list. It neither removes entries nor advances the
// revision; only the complete list does.
func (f *Follower) mergePage(now time.Time, entries []storeview.Entry, output *Output) {
	f.view.BeginList(now, f.listRevision)
	f.emitChange(f.view.Merge(now, entries), output)
	if f.part != partTargets {
		return
	}
	list := f.incremental
	list.pages++
	list.hasAllServices = list.hasAllServices || f.hasAllServices()
	if !list.isUsable && (list.hasAllServices || list.pages >= maxPagesUntilUsable) {
		list.isUsable = true
		detail := fmt.Sprintf("%d targets known after %d pages", f.view.PresentTargetCount(), list.pages)
		output.Events = append(output.Events, Event{EventPartUsable, detail})
	}
	f.nextCallAt = now.Add(f.pagePause())
}

// splitRange splits the rest of a range if the store's latency justifies it and peers wait for the
// whole content.
func (f *Follower) splitRange(r *listRange) {
	f.recordPageLatency()
	if r.complete || f.latePages < minLatePages || !f.isReadingForPeers() {
		return
	}
	f.latePages = 0
	lastKey := r.lastKey
	for _, key := range f.config.Keys.SplitKeys(r.afterKey, f.rangeCount()) {
		if key <= r.afterKey || lastKey != "" && key >= lastKey {
			continue
		}
		r.lastKey = key
		r = &listRange{afterKey: key, lastKey: lastKey}
		f.ranges = append(f.ranges, r)
	}
}

// hasAllServices reports whether minUsableTargets targets of each routed service accept new flows.
func (f *Follower) hasAllServices() bool {
	configuration := f.view.Configuration()
	if configuration == nil {
		return false
	}
	open := f.view.OpenTargetsByService()
	for index := range configuration.Routes {
		for _, backend := range configuration.Routes[index].Backends {
			if backend.Weight > 0 && open[backend.Service] < minUsableTargets {
				return false
			}
		}
	}
	return true
}

// pagePause draws the pause before the next page. Its mean is a multiple of the store's latency,
// which grows with the number of daemons that read. A daemon with peers leaves a congested store
// to those that read for them.
func (f *Follower) pagePause() time.Duration {
	factor := pageLatencyFactor
	switch {
	case !f.incremental.hasAllServices:
		factor = pageLatencyFactorLacking
	case f.isReadingForPeers():
		return 0
	case f.memberCount > 1:
		return f.congestionDelay()
	}
	pause := 2 * f.random.Float64() * float64(factor) * float64(f.storeLatency)
	return min(time.Duration(pause), maxPagePause)
}

// latencyTimeout returns the minimum time that a call of an incremental list waits for its answer.
func (f *Follower) latencyTimeout() time.Duration {
	return min(latencyTimeoutFactor*f.storeLatency, maxLatencyTimeout)
}

// mayStartPage reports whether a page of an incremental list may be requested besides those in
// flight. While there are too few targets, an answer that is late is not awaited: another page is
// as useful.
func (f *Follower) mayStartPage(now time.Time) bool {
	oldest := f.oldestCallAt()
	if oldest.IsZero() || f.isReadingForPeers() {
		return true
	}
	return !f.incremental.isUsable && now.Sub(oldest) >= max(f.config.HedgeAfter, hedgeLatencyFactor*f.storeLatency)
}
