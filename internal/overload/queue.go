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

// QueuedPacket is a packet in a Queue, with the later packets of its flow.
type QueuedPacket[T any] struct {
	Load *Controller
	Rank Rank
	// Flow is the packet's flow; later packets of it are queued behind this one.
	Flow Flow
	// IsOpening reports whether the packet opens a flow, so that it may be rejected.
	IsOpening bool
	// ArrivedAt is when the packet arrived, Deadline until when it may be queued.
	ArrivedAt, Deadline time.Time
	Packet              T
	// Behind holds later packets of the flow, in order. They leave the queue with Packet.
	Behind []T
}

// Queue holds packets until their services can admit them. The work per arriving packet does not
// grow with the number of queued packets, as only the head of each FIFO is examined. It is not safe
// for concurrent use.
type Queue[T any] struct {
	capacity int
	// count is the number of queued packets.
	count int
	fifos []*fifo[T]
	flows map[Flow]*QueuedPacket[T]
}

// fifo is a FIFO of packets with the same controller, rank and maximum wait, so that its head is
// also the first to reach its deadline.
type fifo[T any] struct {
	controller *Controller
	rank       Rank
	isOpening  bool
	maxWait    time.Duration
	waiting    []*QueuedPacket[T]
}

// NewQueue returns a queue for at most capacity packets.
func NewQueue[T any](capacity int) *Queue[T] {
	return &Queue[T]{capacity: capacity, flows: map[Flow]*QueuedPacket[T]{}}
}

// Len returns the number of queued packets.
func (q *Queue[T]) Len() int { return q.count }

// PeekFlow returns the first queued packet of a flow, nil if there is none. It is valid until the
// queue changes.
func (q *Queue[T]) PeekFlow(flow Flow) *QueuedPacket[T] {
	if q.count == 0 {
		return nil
	}
	return q.flows[flow]
}

// HasRoom reports whether a packet may be queued: the queue is not full and, if the packet opens a
// flow, another flow of its rank is expected to be admitted in time.
func (q *Queue[T]) HasRoom(now time.Time, controller *Controller, rank Rank, isOpening bool) bool {
	return q.count < q.capacity && (!isOpening || q.waitingFlows(controller, rank) < controller.maxWaitingFlows(now, rank))
}

// Push queues a packet. It reports false if there is no room. A packet is queued behind earlier ones
// of its flow. One that is queued again keeps its position by arrival time.
func (q *Queue[T]) Push(now time.Time, added QueuedPacket[T]) bool {
	if !q.HasRoom(now, added.Load, added.Rank, added.IsOpening) {
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
	fifo := q.fifoOf(&added)
	position := len(fifo.waiting)
	for position > 0 && fifo.waiting[position-1].ArrivedAt.After(added.ArrivedAt) {
		position--
	}
	fifo.waiting = slices.Insert(fifo.waiting, position, &added)
	return true
}

// fifoOf returns the FIFO for a packet.
func (q *Queue[T]) fifoOf(added *QueuedPacket[T]) *fifo[T] {
	maxWait := added.Deadline.Sub(added.ArrivedAt)
	for _, fifo := range q.fifos {
		if fifo.controller == added.Load && fifo.rank == added.Rank && fifo.isOpening == added.IsOpening && fifo.maxWait == maxWait {
			return fifo
		}
	}
	fifo := &fifo[T]{controller: added.Load, rank: added.Rank, isOpening: added.IsOpening, maxWait: maxWait}
	q.fifos = append(q.fifos, fifo)
	return fifo
}

// waitingFlows returns the number of queued new flows of a rank to a service.
func (q *Queue[T]) waitingFlows(controller *Controller, rank Rank) int {
	count := 0
	for _, fifo := range q.fifos {
		if fifo.isOpening && fifo.controller == controller && fifo.rank == rank {
			count += len(fifo.waiting)
		}
	}
	return count
}

// Pop removes and returns the next packet that is admitted or has reached its deadline, with those
// behind it. Preferred packets come first, then the earliest.
func (q *Queue[T]) Pop(now time.Time) (taken QueuedPacket[T], found bool) {
	var best *fifo[T]
	for _, fifo := range q.fifos {
		first := fifo.waiting[0]
		if best != nil && (fifo.rank > best.rank || fifo.rank == best.rank && !first.ArrivedAt.Before(best.waiting[0].ArrivedAt)) {
			continue
		}
		if !now.Before(first.Deadline) || fifo.controller.Admit(now, fifo.rank) {
			best = fifo
		}
	}
	if best == nil {
		return QueuedPacket[T]{}, false
	}
	return q.remove(best, 0), true
}

// PopFlow removes and returns the queued packets of a flow.
func (q *Queue[T]) PopFlow(flow Flow) (taken QueuedPacket[T], found bool) {
	first := q.PeekFlow(flow)
	if first == nil {
		return QueuedPacket[T]{}, false
	}
	fifo := q.fifoOf(first)
	return q.remove(fifo, slices.Index(fifo.waiting, first)), true
}

// remove removes a packet from a FIFO, and the FIFO once it is empty.
func (q *Queue[T]) remove(from *fifo[T], position int) QueuedPacket[T] {
	taken := from.waiting[position]
	from.waiting = slices.Delete(from.waiting, position, position+1)
	if len(from.waiting) == 0 {
		q.fifos = slices.DeleteFunc(q.fifos, func(fifo *fifo[T]) bool { return fifo == from })
	}
	delete(q.flows, taken.Flow)
	q.count -= 1 + len(taken.Behind)
	return *taken
}
