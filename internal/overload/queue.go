package overload

import (
	"net/netip"
	"slices"
	"time"
)

// Flow names a flow by its two ends, and tells its opening from what is sent on it once it is
// open: one does not wait behind the other. The zero Flow is none.
type Flow struct {
	Source, Destination netip.AddrPort
	IsOpening           bool
}

// Waiting is a packet that waits for its service to have room.
type Waiting[T any] struct {
	Load *Controller
	Rank Rank
	// Flow is what the packet belongs to; later ones of it wait behind it.
	Flow Flow
	// IsOpening says that the packet opens a flow, and can be refused.
	IsOpening bool
	// At is when the packet came, Until when it waits no longer.
	At, Until time.Time
	Packet    T
	// Behind are later packets of the flow, in order. They go on together with Packet.
	Behind []T
}

// Queue holds packets until their services have room. What costs time with each packet that
// comes does not grow with how many wait: only the first of a line is looked at. It is not
// safe for concurrent use.
type Queue[T any] struct {
	most int
	// count is how many packets wait.
	count int
	lines []*line[T]
	flows map[Flow]*Waiting[T]
}

// line is what waits for the same room, for equally long: the first that came is also the
// first that has waited for too long.
type line[T any] struct {
	load      *Controller
	rank      Rank
	isOpening bool
	hold      time.Duration
	waiting   []*Waiting[T]
}

// NewQueue makes a queue of at most so many packets.
func NewQueue[T any](most int) *Queue[T] {
	return &Queue[T]{most: most, flows: map[Flow]*Waiting[T]{}}
}

// Len returns how many packets wait.
func (q *Queue[T]) Len() int { return q.count }

// Of returns the first packet of a flow that waits, nil if none does. It is valid until the
// queue changes.
func (q *Queue[T]) Of(flow Flow) *Waiting[T] {
	if q.count == 0 {
		return nil
	}
	return q.flows[flow]
}

// HasPlace reports whether a packet may wait: the queue is not full, and if it opens a flow,
// room is expected in time for one more of the rank.
func (q *Queue[T]) HasPlace(now time.Time, load *Controller, rank Rank, isOpening bool) bool {
	return q.count < q.most && (!isOpening || q.opening(load, rank) < load.places(now, rank))
}

// Put lets a packet wait. It reports false if there is no place. One of a flow of which others
// wait goes behind them. One that waited before and must once more gets its place by when it
// came.
func (q *Queue[T]) Put(now time.Time, added Waiting[T]) bool {
	if !q.HasPlace(now, added.Load, added.Rank, added.IsOpening) {
		return false
	}
	q.count++
	if added.Flow != (Flow{}) {
		if first := q.flows[added.Flow]; first != nil {
			first.Behind = append(first.Behind, added.Packet)
			return true
		}
		q.flows[added.Flow] = &added
	}
	line := q.lineOf(&added)
	place := len(line.waiting)
	for place > 0 && line.waiting[place-1].At.After(added.At) {
		place--
	}
	line.waiting = slices.Insert(line.waiting, place, &added)
	return true
}

// lineOf returns the line that a packet waits in.
func (q *Queue[T]) lineOf(added *Waiting[T]) *line[T] {
	hold := added.Until.Sub(added.At)
	for _, line := range q.lines {
		if line.load == added.Load && line.rank == added.Rank && line.isOpening == added.IsOpening && line.hold == hold {
			return line
		}
	}
	line := &line[T]{load: added.Load, rank: added.Rank, isOpening: added.IsOpening, hold: hold}
	q.lines = append(q.lines, line)
	return line
}

// opening returns how many new flows of a rank wait for a service.
func (q *Queue[T]) opening(load *Controller, rank Rank) int {
	count := 0
	for _, line := range q.lines {
		if line.isOpening && line.load == load && line.rank == rank {
			count += len(line.waiting)
		}
	}
	return count
}

// Take takes out the packet that goes on next, if one does, with those behind it: for which
// there is room, or that has waited for as long as it may. Preferred ones go first, and of a
// rank the earliest.
func (q *Queue[T]) Take(now time.Time) (taken Waiting[T], found bool) {
	var best *line[T]
	for _, line := range q.lines {
		first := line.waiting[0]
		if best != nil && (line.rank > best.rank || line.rank == best.rank && !first.At.Before(best.waiting[0].At)) {
			continue
		}
		if !now.Before(first.Until) || line.load.Admit(now, line.rank) {
			best = line
		}
	}
	if best == nil {
		return Waiting[T]{}, false
	}
	return q.remove(best, 0), true
}

// TakeFlow takes out what waits of a flow, if something does.
func (q *Queue[T]) TakeFlow(flow Flow) (taken Waiting[T], found bool) {
	first := q.Of(flow)
	if first == nil {
		return Waiting[T]{}, false
	}
	line := q.lineOf(first)
	return q.remove(line, slices.Index(line.waiting, first)), true
}

// remove takes one out of a line, and the line out if nobody waits in it any more.
func (q *Queue[T]) remove(from *line[T], place int) Waiting[T] {
	taken := from.waiting[place]
	from.waiting = slices.Delete(from.waiting, place, place+1)
	if len(from.waiting) == 0 {
		q.lines = slices.DeleteFunc(q.lines, func(line *line[T]) bool { return line == from })
	}
	delete(q.flows, taken.Flow)
	q.count -= 1 + len(taken.Behind)
	return *taken
}
