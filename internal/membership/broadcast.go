package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/passtray/passtray/internal/identity"
)

// broadcast is a queued member update or application payload. Those sent the fewest times go first
// (section 4.1 of the SWIM paper).
type broadcast struct {
	member    *Member
	payload   []byte
	transmits int
	size      int
}

// isRefutation reports whether the update is a member's refutation of a suspicion against it.
func (b *broadcast) isRefutation() bool {
	return b.member != nil && b.member.Status == Alive && b.member.Incarnation > 0
}

// class is the broadcast's priority class, lower first. Refutations precede all else, since they must
// reach every member before the suspicion times out, even when updates of a mass failure fill the
// messages. Otherwise live members declare each other dead, as 31 pairs did when 165 of 300 members
// were killed.
func (b *broadcast) class() int {
	if b.isRefutation() {
		return 0
	}
	return 1
}

// broadcastQueue retransmits each broadcast often enough to reach all members with high
// probability.
type broadcastQueue struct {
	items []broadcast
	// members are those with an update in items.
	members map[identity.Identity]bool
	// skipsMembers discards member updates, because the other members receive them too.
	skipsMembers bool
}

// approximateMemberSize is an upper bound of a member's encoded size without its zone, in bytes.
const approximateMemberSize = 80

func (q *broadcastQueue) addMember(member Member) {
	if q.skipsMembers {
		return
	}
	q.removeMember(member.Identity)
	if q.members == nil {
		q.members = map[identity.Identity]bool{}
	}
	q.members[member.Identity] = true
	q.items = append(q.items, broadcast{member: &member, size: approximateMemberSize + len(member.Zone)})
}

func (q *broadcastQueue) addPayload(payload []byte) {
	q.items = append(q.items, broadcast{payload: payload, size: len(payload) + 4})
}

// appendTo adds the broadcasts that fit into maxBytes to the message and returns the bytes used.
// Broadcasts sent maxTransmits times are dropped; with a backlog, all but refutations are dropped
// sooner.
func (q *broadcastQueue) appendTo(msg *message, maxBytes, maxTransmits int) int {
	maxBacklogTransmits := maxTransmits
	if q.hasBacklog() {
		maxBacklogTransmits = min(maxTransmits, backlogRetransmits)
	}
	slices.SortStableFunc(q.items, func(a, b broadcast) int {
		return cmp.Or(cmp.Compare(a.class(), b.class()), cmp.Compare(a.transmits, b.transmits))
	})
	used := 0
	for index := range q.items {
		item := &q.items[index]
		if used+item.size > maxBytes {
			continue
		}
		used += item.size
		item.transmits++
		if item.member != nil {
			msg.Updates = append(msg.Updates, *item.member)
		} else {
			msg.Broadcasts = append(msg.Broadcasts, item.payload)
		}
	}
	q.removeIf(func(item *broadcast) bool {
		if item.isRefutation() {
			return item.transmits >= maxTransmits
		}
		return item.transmits >= maxBacklogTransmits
	})
	return used
}

// removeMember removes the queued update of a member.
func (q *broadcastQueue) removeMember(member identity.Identity) {
	if q.members[member] {
		q.removeIf(func(item *broadcast) bool { return item.member != nil && item.member.Identity == member })
	}
}

func (q *broadcastQueue) removeMembers(members map[identity.Identity]bool) {
	q.removeIf(func(item *broadcast) bool { return item.member != nil && members[item.member.Identity] })
}

func (q *broadcastQueue) removeIf(shouldRemove func(item *broadcast) bool) {
	kept := q.items[:0]
	for index := range q.items {
		item := &q.items[index]
		if !shouldRemove(item) {
			kept = append(kept, *item)
			continue
		}
		if item.member != nil {
			delete(q.members, item.member.Identity)
		}
	}
	clear(q.items[len(kept):])
	q.items = kept
}

// retransmitLimit grows with the logarithm of the group's size, as does the number of gossip rounds
// that an update needs to reach all.
func (c *Config) retransmitLimit(members int) int {
	return c.RetransmitMultiplier * int(math.Ceil(math.Log10(float64(members+1))))
}

const (
	// backlogThreshold is the queue length above which updates exceed what gossip can carry, as when
	// a whole region starts. Each is then sent only backlogRetransmits times, and the comparison of
	// full member lists repairs losses.
	backlogThreshold   = 64
	backlogRetransmits = 3
)

func (q *broadcastQueue) hasBacklog() bool { return len(q.items) > backlogThreshold }
