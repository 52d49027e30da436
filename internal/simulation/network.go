// Package simulation runs a whole fleet of control cores in virtual time, from
// one seed: messages are lost, doubled, delayed and reordered, daemons pause,
// crash, join and are cut from each other. The same seed gives the same run.
package simulation

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q eventQueue) Less(a, b int) bool {
	if !q[a].at.Equal(q[b].at) {
		return q[a].at.Before(q[b].at)
	}
	return q[a].sequence < q[b].sequence
}

// Push and Pop serve container/heap.
func (q *eventQueue) Push(value any) { *q = append(*q, value.(event)) }

// Pop serves container/heap.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// Clock is virtual time: events run in order of time, then of scheduling.
type Clock struct {
	now      time.Time
	sequence uint64
	queue    eventQueue
}

// NewClock starts at a fixed moment.
func NewClock() *Clock { return &Clock{now: time.Unix(1_800_000_000, 0).UTC()} }

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return c.now }

// After schedules run.
func (c *Clock) After(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.now.Add(delay), sequence: c.sequence, run: run})
}

// Advance runs all events of the next span of time.
func (c *Clock) Advance(span time.Duration) {
	end := c.now.Add(span)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// NetworkConfig says how bad the network is.
type NetworkConfig struct {
	// MinimumDelay and MaximumDelay bound a message's way; unequal ones reorder.
	MinimumDelay time.Duration
	MaximumDelay time.Duration
	// Loss and Duplication are probabilities for datagrams. Streams lose only
	// what is on its way when a connection breaks, here at a tenth of Loss.
	Loss        float64
	Duplication float64
}

// DefaultNetworkConfig is a lossy region.
func DefaultNetworkConfig() NetworkConfig {
	return NetworkConfig{MinimumDelay: 200 * time.Microsecond, MaximumDelay: 3 * time.Millisecond, Loss: 0.01, Duplication: 0.01}
}
