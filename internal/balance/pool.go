package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Entry is a candidate in a pool with an associated value.
type Entry[T any] struct {
	Candidate
	Value T

	place, zonePlace int
	isWatched        bool
}

// Pool holds the candidates of a service. Adding and removing one takes constant time. It is not
// safe for concurrent use.
type Pool[T any] struct {
	all   list[T]
	zones map[string]*list[T]
	// slots is the sum over all candidates.
	slots int
	// watched holds the candidates that may be dead or ejected. passedOver is the number of
	// ejected ones at watchedAt.
	watched    []*Entry[T]
	watchedAt  time.Time
	passedOver int
	warmth     warmth[T]
	weights    weightBound
}

// list is an unordered list of entries.
type list[T any] struct {
	entries []*Entry[T]
	// emptyUntil is how long the list is known to have no eligible entry; hasBusy is set if some
	// entries were at their limit.
	emptyUntil time.Time
	hasBusy    bool
}

func (p *Pool[T]) Len() int { return len(p.all.entries) }

// Entries returns the candidates in no particular order. The slice must not be changed.
func (p *Pool[T]) Entries() []*Entry[T] { return p.all.entries }

func (p *Pool[T]) Add(candidate Candidate, value T) *Entry[T] {
	entry := &Entry[T]{Candidate: candidate, Value: value}
	if p.zones == nil {
		p.zones = map[string]*list[T]{}
	}
	zone := p.zones[candidate.Zone]
	if zone == nil {
		zone = &list[T]{}
		p.zones[candidate.Zone] = zone
	}
	entry.place, entry.zonePlace = len(p.all.entries), len(zone.entries)
	p.all.add(entry)
	zone.add(entry)
	p.slots += int(candidate.Slots)
	p.warmth.noneBefore = time.Time{}
	if candidate.Signal.hasBeenOut() {
		p.Watch(entry)
	}
	return entry
}

func (l *list[T]) add(entry *Entry[T]) {
	l.entries = append(l.entries, entry)
	l.emptyUntil = time.Time{}
}

// Remove removes a candidate.
func (p *Pool[T]) Remove(entry *Entry[T]) {
	moved := p.all.removeAt(entry.place)
	moved.place = entry.place
	zone := p.zones[entry.Zone]
	moved = zone.removeAt(entry.zonePlace)
	moved.zonePlace = entry.zonePlace
	if len(zone.entries) == 0 {
		delete(p.zones, entry.Zone)
	}
	entry.place, entry.zonePlace = -1, -1
	p.slots -= int(entry.Slots)
	if p.warmth.witness == entry {
		p.warmth.witness = nil
	}
}

// removeAt replaces the entry at a position by the last one, and returns the latter.
func (l *list[T]) removeAt(place int) *Entry[T] {
	last := len(l.entries) - 1
	moved := l.entries[last]
	l.entries[place] = moved
	l.entries[last] = nil
	l.entries = l.entries[:last]
	return moved
}

// Watch marks a candidate that was found dead or ejected.
func (p *Pool[T]) Watch(entry *Entry[T]) {
	if !entry.isWatched {
		entry.isWatched = true
		p.watched = append(p.watched, entry)
	}
}

// Slots returns the slots of the candidates that are neither dead nor ejected, and of the ejected
// ones.
func (p *Pool[T]) Slots(now time.Time) (working, passedOver int) {
	working = p.slots
	p.watchedAt, p.passedOver = now, 0
	kept := p.watched[:0]
	for _, entry := range p.watched {
		isDead, isEjected := entry.Signal.IsDead(now), entry.Signal.IsEjected(now)
		if entry.place < 0 || !isDead && !isEjected {
			entry.isWatched = false
			continue
		}
		kept = append(kept, entry)
		working -= int(entry.Slots)
		if !isDead {
			p.passedOver++
			passedOver += int(entry.Slots)
		}
	}
	clear(p.watched[len(kept):])
	p.watched = kept
	return working, passedOver
}

// isDoubtful reports whether so many candidates are ejected that some ejections must be ignored,
// for which all candidates must be visited.
func (p *Pool[T]) isDoubtful(now time.Time) bool {
	if now.Sub(p.watchedAt) >= watchInterval {
		p.Slots(now)
	}
	return float64(p.passedOver) > maximumEjectedShare*float64(p.Len())
}

// warmth caches whether some candidate is past its slow start.
type warmth[T any] struct {
	// witness is such a candidate, or nil; then there is none before noneBefore.
	witness    *Entry[T]
	noneBefore time.Time
}

func (p *Pool[T]) hasWarm(now time.Time) bool {
	if p.warmth.witness != nil {
		return true
	}
	if now.Before(p.warmth.noneBefore) {
		return false
	}
	var earliest time.Time
	for _, entry := range p.all.entries {
		if !now.Before(entry.WarmAt) {
			p.warmth.witness = entry
			return true
		}
		if earliest.IsZero() || entry.WarmAt.Before(earliest) {
			earliest = entry.WarmAt
		}
	}
	p.warmth.noneBefore = earliest
	return false
}

// Source is a pool to pick from. Allows, if set, filters its candidates.
type Source[T any] struct {
	Pool   *Pool[T]
	Allows func(value T) bool
}

func (s *Source[T]) allows(entry *Entry[T]) bool { return s.Allows == nil || s.Allows(entry.Value) }

const (
	// scanUpTo is the number of candidates up to which all are visited for each pick.
	scanUpTo = 48
	// mostTries bounds the draws for one choice; after that many, probably fewer than one in ten
	// candidates is eligible.
	mostTries = 64
	// watchInterval is how long the number of ejected candidates is cached.
	watchInterval = 50 * time.Millisecond
	// emptyFor is how long a list without eligible entries is not searched again, since a full
	// scan is expensive and many clients of a service without capacity arrive at once.
	emptyFor = 10 * time.Millisecond
)

// Picker picks from pools. The zero value is ready for use. It is not safe for concurrent use.
type Picker[T any] struct {
	scratch    Scratch
	all, local sampler[T]
}

// Pick returns a candidate from at most two pools, nil if none may take the flow. Large pools are
// sampled, so that the cost does not depend on their size; all candidates are visited only if
// sampling fails because few are eligible.
func (p *Picker[T]) Pick(request *Request, sources []Source[T], random *rand.Rand) *Entry[T] {
	p.all.begin(request, sources)
	if p.all.count <= scanUpTo || isDoubtful(request.Now, sources) {
		return p.entryOf(p.scan(request, sources, random), sources)
	}
	if p.all.wasEmpty() {
		return nil
	}
	request.anyWarm = false
	for index := range sources {
		request.anyWarm = request.anyWarm || sources[index].Pool.hasWarm(request.Now)
	}
	p.local.beginZone(request, sources, &p.scratch.near)
	chosen := request.choose(&p.all, &p.local, random)
	if chosen == nil || p.all.hasFailed {
		chosen = p.scan(request, sources, random)
	}
	if chosen == nil {
		p.all.noteEmpty()
	}
	return p.entryOf(chosen, sources)
}

func isDoubtful[T any](now time.Time, sources []Source[T]) bool {
	return slices.ContainsFunc(sources, func(source Source[T]) bool { return source.Pool.isDoubtful(now) })
}

// scan visits all candidates.
func (p *Picker[T]) scan(request *Request, sources []Source[T], random *rand.Rand) *Candidate {
	given := &p.scratch.given
	given.clear()
	for index := range sources {
		source := &sources[index]
		for _, entry := range source.Pool.all.entries {
			if source.allows(entry) {
				given.add(&entry.Candidate, 0)
			}
		}
	}
	return request.pickOf(&p.scratch, random)
}

// entryOf returns the entry of a candidate, nil for nil.
func (p *Picker[T]) entryOf(candidate *Candidate, sources []Source[T]) *Entry[T] {
	if candidate == nil {
		return nil
	}
	for _, sampler := range []*sampler[T]{&p.all, &p.local} {
		if entry := sampler.drawnEntry(candidate); entry != nil {
			return entry
		}
	}
	for index := range sources {
		for _, entry := range sources[index].Pool.all.entries {
			if &entry.Candidate == candidate {
				return entry
			}
		}
	}
	panic("balance: chosen candidate is in none of the pools")
}
