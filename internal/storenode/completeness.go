package storenode

import (
	"sync/atomic"
	"time"

	"github.com/passtray/passtray/internal/monotonic"
)

const (
	// partialReadyDelay is how long a daemon that knows a part of the store's content stays
	// unready without receiving packets. Meanwhile a zone of which most daemons know the whole
	// content is left to them: they can forward all open flows.
	partialReadyDelay = 3 * time.Second
	// recentPacketAge is the age up to which a received packet shows that the routers send packets
	// although this daemon is not ready, because too few daemons of its zone are.
	recentPacketAge = time.Second
)

// completeness records how much of the store's content is known. It is safe for concurrent use.
type completeness struct {
	isComplete atomic.Bool
	// usableAt is when a part sufficed to serve new flows, in nanoseconds of package monotonic; 0 before.
	usableAt atomic.Int64
	// isPartReady reports that this daemon became ready with a part.
	isPartReady atomic.Bool
}

func (c *completeness) setComplete() { c.isComplete.Store(true) }

func (c *completeness) setUsable(now time.Time) {
	c.usableAt.CompareAndSwap(0, monotonic.Nanoseconds(now))
}

// isPartial reports whether only a part of the content is known.
func (c *completeness) isPartial() bool { return !c.isComplete.Load() && c.usableAt.Load() != 0 }

// isReady reports whether enough is known to be sent packets. lastReceived is when the last packet
// arrived.
func (c *completeness) isReady(now, lastReceived time.Time) bool {
	if c.isComplete.Load() || c.isPartReady.Load() {
		return true
	}
	usableAt := c.usableAt.Load()
	if usableAt == 0 {
		return false
	}
	isReceiving := now.Sub(lastReceived) < recentPacketAge
	if isReceiving || now.Sub(monotonic.Time(usableAt)) >= partialReadyDelay {
		c.isPartReady.Store(true)
	}
	return c.isPartReady.Load()
}
