package overload

import (
	"net/netip"
	"slices"
	"time"
)

// Flow identifies a flow by its two endpoints, and whether it is being opened: packets that open it
// and those that follow do not queue behind each other. The zero Flow means none.
type Flow struct {
	Source, Destination netip.AddrPort
	IsOpening           bool
}

// Waiting is a queued packet.
type Waiting[T any] struct {
	Load *Controller
	Rank Rank
	// Flow is the packet's flow; later packets of it are queued behind this one.
	Flow Flow
	// IsOpening reports whether the packet opens a flow, so that it may be rejected.
	IsOpening bool
	// At is the arrival time, Until the deadline for waiting.
	At, Until time.Time
	Packet    T
	// Behind holds later packets of the flow, in order. They leave the queue with Packet.
	Behind []T
}

// Queue holds packets until their services can admit them. The work per arriving packet does not
// grow with the number of queued packets, as only the head of each line is examined. It is not safe
// for concurrent use.
type Queue[T any] struct {
	most int
	// count is the number of queued packets.
	count int
	lines []*line[T]
	flows map[Flow]*Waiting[T]
}

// line is a FIFO of packets with the same controller, rank and maximum wait, so that its head is
// also the first to reach its deadline.
type line[T any] struct {
	load      *Controller
	rank      Rank
	isOpening bool
	hold      time.Duration
	waiting   []*Waiting[T]
}

// NewQueue returns a queue for at most most packets.
func NewQueue[T any](most int) *Queue[T] {
	return &Queue[T]{most: most, flows: map[Flow]*Waiting[T]{}}
}

// Len returns the number of queued packets.
func (q *Queue[T]) Len() int { return q.count }

// Of returns the first queued packet of a flow, nil if there is none. It is valid until the queue
// changes.
func (q *Queue[T]) Of(flow Flow) *Waiting[T] {
	if q.count == 0 {
		return nil
	}
	return q.flows[flow]
}

// HasPlace reports whether a packet may be queued: the queue is not full and, if the packet opens a
// flow, another flow of its rank is expected to be admitted in time.
func (q *Queue[T]) HasPlace(now time.Time, load *Controller, rank Rank, isOpening bool) bool {
	return q.count < q.most && (!isOpening || q.opening(load, rank) < load.places(now, rank))
}

// Put queues a packet. It reports false if there is no room. A packet is queued behind earlier ones
// of its flow. One that is queued again keeps its position by arrival time.
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

// lineOf returns the line for a packet.
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

// opening returns the number of queued new flows of a rank to a service.
func (q *Queue[T]) opening(load *Controller, rank Rank) int {
	count := 0
	for _, line := range q.lines {
		if line.isOpening && line.load == load && line.rank == rank {
			count += len(line.waiting)
		}
	}
	return count
}

// Take removes and returns the next packet that is admitted or has reached its deadline, with those
// behind it. Preferred packets come first, then the earliest.
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

// TakeFlow removes and returns the queued packets of a flow.
func (q *Queue[T]) TakeFlow(flow Flow) (taken Waiting[T], found bool) {
	first := q.Of(flow)
	if first == nil {
		return Waiting[T]{}, false
	}
	line := q.lineOf(first)
	return q.remove(line, slices.Index(line.waiting, first)), true
}

// remove removes a packet from a line, and the line once it is empty.
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
