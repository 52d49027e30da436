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

	index, zoneIndex int
	isWatched        bool
}

// Pool holds the candidates of a service. Adding and removing one takes constant time. It is not
// safe for concurrent use.
type Pool[T any] struct {
	all   list[T]
	zones map[string]*list[T]
	// slots is the sum over all candidates.
	slots int
	// watched holds the candidates that may be dead or ejected. ejected is the number of
	// ejected ones at watchedAt.
	watched   []*Entry[T]
	watchedAt time.Time
	ejected   int
	warmCache warmCache[T]
	weights   weightBound
}

// list is an unordered list of entries.
type list[T any] struct {
	entries []*Entry[T]
	// emptyUntil is how long the list is known to have no eligible entry; hasLimited is set if some
	// entries were at their limit.
	emptyUntil time.Time
	hasLimited bool
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
	entry.index, entry.zoneIndex = len(p.all.entries), len(zone.entries)
	p.all.add(entry)
	zone.add(entry)
	p.slots += int(candidate.Slots)
	p.warmCache.noneBefore = time.Time{}
	if candidate.Signal.wasEjectedOrDead() {
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
	moved := p.all.removeAt(entry.index)
	moved.index = entry.index
	zone := p.zones[entry.Zone]
	moved = zone.removeAt(entry.zoneIndex)
	moved.zoneIndex = entry.zoneIndex
	if len(zone.entries) == 0 {
		delete(p.zones, entry.Zone)
	}
	entry.index, entry.zoneIndex = -1, -1
	p.slots -= int(entry.Slots)
	if p.warmCache.warm == entry {
		p.warmCache.warm = nil
	}
}

// removeAt replaces the entry at a position by the last one, and returns the latter.
func (l *list[T]) removeAt(index int) *Entry[T] {
	last := len(l.entries) - 1
	moved := l.entries[last]
	l.entries[index] = moved
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
func (p *Pool[T]) Slots(now time.Time) (working, ejected int) {
	working = p.slots
	p.watchedAt, p.ejected = now, 0
	kept := p.watched[:0]
	for _, entry := range p.watched {
		isDead, isEjected := entry.Signal.IsDead(now), entry.Signal.IsEjected(now)
		if entry.index < 0 || !isDead && !isEjected {
			entry.isWatched = false
			continue
		}
		kept = append(kept, entry)
		working -= int(entry.Slots)
		if !isDead {
			p.ejected++
			ejected += int(entry.Slots)
		}
	}
	clear(p.watched[len(kept):])
	p.watched = kept
	return working, ejected
}

// exceedsEjectedShare reports whether so many candidates are ejected that some ejections must be ignored,
// for which all candidates must be visited.
func (p *Pool[T]) exceedsEjectedShare(now time.Time) bool {
	if now.Sub(p.watchedAt) >= watchInterval {
		p.Slots(now)
	}
	return float64(p.ejected) > maxEjectedShare*float64(p.Len())
}

// warmCache caches whether some candidate is past its slow start.
type warmCache[T any] struct {
	// warm is such a candidate. If it is nil, there is none before noneBefore.
	warm       *Entry[T]
	noneBefore time.Time
}

func (p *Pool[T]) hasWarm(now time.Time) bool {
	if p.warmCache.warm != nil {
		return true
	}
	if now.Before(p.warmCache.noneBefore) {
		return false
	}
	var earliest time.Time
	for _, entry := range p.all.entries {
		if !now.Before(entry.WarmAt) {
			p.warmCache.warm = entry
			return true
		}
		if earliest.IsZero() || entry.WarmAt.Before(earliest) {
			earliest = entry.WarmAt
		}
	}
	p.warmCache.noneBefore = earliest
	return false
}

// Source is a pool to pick from. Allows, if set, filters its candidates.
type Source[T any] struct {
	Pool   *Pool[T]
	Allows func(value T) bool
}

func (s *Source[T]) allows(entry *Entry[T]) bool { return s.Allows == nil || s.Allows(entry.Value) }

const (
	// scanThreshold is the number of candidates up to which all are visited for each pick.
	scanThreshold = 48
	// maxTries bounds the draws for one choice; after that many, probably fewer than one in ten
	// candidates is eligible.
	maxTries = 64
	// watchInterval is how long the number of ejected candidates is cached.
	watchInterval = 50 * time.Millisecond
	// emptyTTL is how long a list without eligible entries is not searched again, since a full
	// scan of 10,000 candidates takes 1 ms, and callers of a service without capacity arrive by
	// the hundred.
	emptyTTL = 10 * time.Millisecond
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
	p.all.reset(request, sources)
	if p.all.count <= scanThreshold || exceedsEjectedShare(request.Now, sources) {
		return p.entryOf(p.scan(request, sources, random), sources)
	}
	if p.all.isKnownEmpty() {
		return nil
	}
	request.anyWarm = false
	for index := range sources {
		request.anyWarm = request.anyWarm || sources[index].Pool.hasWarm(request.Now)
	}
	p.local.resetZone(request, sources, &p.scratch.inZone)
	chosen := request.choose(&p.all, &p.local, random)
	if chosen == nil || p.all.hasFailed {
		chosen = p.scan(request, sources, random)
	}
	if chosen == nil {
		p.all.markEmpty()
	}
	return p.entryOf(chosen, sources)
}

func exceedsEjectedShare[T any](now time.Time, sources []Source[T]) bool {
	return slices.ContainsFunc(sources, func(source Source[T]) bool { return source.Pool.exceedsEjectedShare(now) })
}

// scan visits all candidates.
func (p *Picker[T]) scan(request *Request, sources []Source[T], random *rand.Rand) *Candidate {
	input := &p.scratch.input
	input.clear()
	for index := range sources {
		source := &sources[index]
		for _, entry := range source.Pool.all.entries {
			if source.allows(entry) {
				input.add(&entry.Candidate, 0)
			}
		}
	}
	return request.pickFromInput(&p.scratch, random)
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
