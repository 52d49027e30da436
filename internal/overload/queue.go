package overload

import (
	"slices"
	"time"
)

// Waiting is a packet that waits for its service to have room.
type Waiting[T any] struct {
	Load *Controller
	Rank Rank
	// IsOpening says that the packet opens a flow, and can be refused.
	IsOpening bool
	// At is when the packet came, Until when it waits no longer.
	At, Until time.Time
	Packet    T
}

// Queue holds packets until their services have room. It is not safe for concurrent use.
type Queue[T any] struct {
	most    int
	waiting []Waiting[T]
}

// NewQueue makes a queue of at most so many packets.
func NewQueue[T any](most int) *Queue[T] { return &Queue[T]{most: most} }

// Contains reports whether a packet waits for which a test holds.
func (q *Queue[T]) Contains(test func(packet T) bool) bool {
	return slices.ContainsFunc(q.waiting, func(waiting Waiting[T]) bool { return test(waiting.Packet) })
}

// Put lets a packet wait. It reports false if there is no place: the queue is full, or no
// room is expected in time for one more flow of the rank.
func (q *Queue[T]) Put(now time.Time, added Waiting[T]) bool {
	if len(q.waiting) >= q.most || added.IsOpening && q.count(&added) >= added.Load.places(now, added.Rank) {
		return false
	}
	q.waiting = append(q.waiting, added)
	return true
}

// count returns how many flows wait as another does.
func (q *Queue[T]) count(like *Waiting[T]) int {
	count := 0
	for index := range q.waiting {
		held := &q.waiting[index]
		if held.IsOpening && held.Load == like.Load && held.Rank == like.Rank {
			count++
		}
	}
	return count
}

// Take takes out the packet that goes on next, if one does: for which there is room, or that
// has waited for as long as it may. Preferred ones go first, and of a rank the earliest.
func (q *Queue[T]) Take(now time.Time) (taken Waiting[T], found bool) {
	best := -1
	for index := range q.waiting {
		held := &q.waiting[index]
		if best >= 0 && held.Rank >= q.waiting[best].Rank {
			continue
		}
		if !now.Before(held.Until) || held.Load.Admit(now, held.Rank) {
			best = index
		}
	}
	if best < 0 {
		return Waiting[T]{}, false
	}
	taken = q.waiting[best]
	q.waiting = slices.Delete(q.waiting, best, best+1)
	return taken, true
}
