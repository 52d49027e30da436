package ownership

import (
	"net/netip"
	"sync"
	"time"
)

// Pin is an owner's decision for one flow.
type Pin struct {
	// Target is the number of the target.
	Target uint32
	// Created is when the target was selected, Expires when the pin ends unless it is used before.
	Created time.Time
	Expires time.Time
	// Answered reports whether the target has answered; the flow must then never be moved to
	// another target.
	Answered bool
	// Retries is how often the flow was moved to another target.
	Retries int
	// Replicated is when the pin was last sent to the daemon that is next in line to own the flow.
	Replicated time.Time
}

// shardCount is the number of shards, to reduce lock contention.
const shardCount = 32

// Table holds a bounded number of pins. It is safe for concurrent use.
type Table struct {
	lifetime time.Duration
	shards   [shardCount]pinShard
}

type pinShard struct {
	mutex sync.Mutex
	pins  map[FlowKey]Pin
	// byCaller finds the pin for a reply, which does not carry the client-chosen ID.
	byCaller map[callerKey]FlowKey
	// queue holds keys in order of insertion; the key of a pin in use is appended again when it
	// reaches the head.
	queue    []FlowKey
	capacity int
}

type callerKey struct {
	service uint32
	caller  netip.AddrPort
}

// NewTable returns a table of at most capacity pins, which expire lifetime after their last use.
// It supports MarkAnswered.
func NewTable(capacity int, lifetime time.Duration) *Table {
	table := NewFlowTable(capacity, lifetime)
	for index := range table.shards {
		table.shards[index].byCaller = map[callerKey]FlowKey{}
	}
	return table
}

// NewFlowTable returns a table without the lookup by caller that MarkAnswered needs, to save
// memory; MarkAnswered always returns false.
func NewFlowTable(capacity int, lifetime time.Duration) *Table {
	table := &Table{lifetime: lifetime}
	for index := range table.shards {
		table.shards[index] = pinShard{pins: map[FlowKey]Pin{}, capacity: max(1, capacity/shardCount)}
	}
	return table
}

// shardOf shards by caller, so that a reply maps to the shard of its pin.
func (t *Table) shardOf(service uint32, caller netip.AddrPort) *pinShard {
	return &t.shards[KeyOfCaller(service, caller).Hash%shardCount]
}

// Update calls decide with the pin of a flow and stores the pin it returns if its second result is
// true. It holds the shard's lock meanwhile, so that concurrent packets of a flow get the same
// decision.
func (t *Table) Update(now time.Time, key FlowKey, decide func(existing Pin, found bool) (Pin, bool)) (Pin, bool) {
	shard := t.shardOf(key.Service, key.Caller)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.expire(now)
	existing, found := shard.pins[key]
	if found && !now.Before(existing.Expires) {
		existing, found = Pin{}, false
	}
	pin, store := decide(existing, found)
	if !store {
		return pin, false
	}
	pin.Expires = now.Add(t.lifetime)
	if _, queued := shard.pins[key]; !queued {
		shard.evictOldest()
		shard.queue = append(shard.queue, key)
	}
	shard.pins[key] = pin
	if shard.byCaller != nil {
		shard.byCaller[callerKey{key.Service, key.Caller}] = key
	}
	return pin, true
}

// MarkAnswered records that a target answered a caller and reports whether this was the first
// response.
func (t *Table) MarkAnswered(service uint32, caller netip.AddrPort, target uint32) bool {
	shard := t.shardOf(service, caller)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	key, found := shard.byCaller[callerKey{service, caller}]
	if !found {
		return false
	}
	pin, found := shard.pins[key]
	if !found || pin.Target != target || pin.Answered {
		return false
	}
	pin.Answered = true
	shard.pins[key] = pin
	return true
}

// Len returns the number of pins.
func (t *Table) Len() int {
	total := 0
	for index := range t.shards {
		shard := &t.shards[index]
		shard.mutex.Lock()
		total += len(shard.pins)
		shard.mutex.Unlock()
	}
	return total
}

// maxExpirePerCall bounds the entries that one call examines.
const maxExpirePerCall = 4

// expire examines the oldest few entries: expired pins are removed, others go to the back of the
// queue.
func (s *pinShard) expire(now time.Time) {
	for range min(maxExpirePerCall, len(s.queue)) {
		key := s.queue[0]
		s.queue = s.queue[1:]
		if pin, found := s.pins[key]; found && now.Before(pin.Expires) {
			s.queue = append(s.queue, key)
			continue
		}
		s.remove(key)
	}
}

// evictOldest removes the oldest pin if the shard is full.
func (s *pinShard) evictOldest() {
	for len(s.pins) >= s.capacity && len(s.queue) > 0 {
		key := s.queue[0]
		s.queue = s.queue[1:]
		s.remove(key)
	}
}

func (s *pinShard) remove(key FlowKey) {
	delete(s.pins, key)
	caller := callerKey{key.Service, key.Caller}
	if s.byCaller[caller] == key {
		delete(s.byCaller, caller)
	}
}
