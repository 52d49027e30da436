package ownership

import (
	"net/netip"
	"sync"
	"time"
)

// Pin is what an owner decided for one flow.
type Pin struct {
	// Target is the target's number.
	Target uint32
	// Created is when the target was picked, Expires when the pin ends unless
	// it is used again.
	Created time.Time
	Expires time.Time
	// Answered says that the target has sent something back; from then on the
	// flow may never be steered elsewhere.
	Answered bool
	// Retries counts how often the flow was steered to another target.
	Retries int
	// Replicated is when the pin was last told to the daemon that would own the
	// flow next.
	Replicated time.Time
}

// pinShards divides the table so that workers seldom wait for each other.
const pinShards = 32

// Table remembers pins up to a bound. It is safe for concurrent use.
type Table struct {
	lifetime time.Duration
	shards   [pinShards]pinShard
}

type pinShard struct {
	mutex sync.Mutex
	pins  map[FlowKey]Pin
	// byCaller finds the pin of a reply, which carries no client-chosen ID.
	byCaller map[callerKey]FlowKey
	// queue holds keys in order of insertion; a used pin is queued again when
	// its turn comes.
	queue    []FlowKey
	capacity int
}

type callerKey struct {
	service uint32
	caller  netip.AddrPort
}

// NewTable makes a table of at most capacity pins, each living for lifetime
// after its last use, for flows whose answers are to be noted.
func NewTable(capacity int, lifetime time.Duration) *Table {
	table := NewFlowTable(capacity, lifetime)
	for index := range table.shards {
		table.shards[index].byCaller = map[callerKey]FlowKey{}
	}
	return table
}

// NewFlowTable makes a table without the way back from answers to pins, which
// costs memory that long flows need not spend. MarkAnswered finds nothing in it.
func NewFlowTable(capacity int, lifetime time.Duration) *Table {
	table := &Table{lifetime: lifetime}
	for index := range table.shards {
		table.shards[index] = pinShard{pins: map[FlowKey]Pin{}, capacity: max(1, capacity/pinShards)}
	}
	return table
}

// shardOf divides by caller, so that a reply finds its pin's shard.
func (t *Table) shardOf(service uint32, caller netip.AddrPort) *pinShard {
	return &t.shards[KeyOfCaller(service, caller).Hash%pinShards]
}

// Update looks a flow up and lets decide keep or replace its pin, under the
// shard's lock, so that two packets of one flow get one decision. decide
// reports whether its pin is to be stored.
func (t *Table) Update(now time.Time, key FlowKey, decide func(held Pin, found bool) (Pin, bool)) (Pin, bool) {
	shard := t.shardOf(key.Service, key.Caller)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.expire(now)
	held, found := shard.pins[key]
	if found && !now.Before(held.Expires) {
		held, found = Pin{}, false
	}
	pin, store := decide(held, found)
	if !store {
		return pin, false
	}
	pin.Expires = now.Add(t.lifetime)
	if _, queued := shard.pins[key]; !queued {
		shard.makeRoom()
		shard.queue = append(shard.queue, key)
	}
	shard.pins[key] = pin
	if shard.byCaller != nil {
		shard.byCaller[callerKey{key.Service, key.Caller}] = key
	}
	return pin, true
}

// MarkAnswered notes that a target has answered a caller, and reports whether it
// was the first answer.
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

// Len returns how many pins are held.
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

// expireStep bounds the work one call does for the table's upkeep.
const expireStep = 4

// expire looks at the oldest few entries: an ended pin goes, one that was used
// since goes to the back of the queue.
func (s *pinShard) expire(now time.Time) {
	for range min(expireStep, len(s.queue)) {
		key := s.queue[0]
		s.queue = s.queue[1:]
		if pin, found := s.pins[key]; found && now.Before(pin.Expires) {
			s.queue = append(s.queue, key)
			continue
		}
		s.remove(key)
	}
}

// makeRoom drops the oldest pin when the shard is full.
func (s *pinShard) makeRoom() {
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
