package followed

import "time"

const (
	// snapshotLinkShare is the average share of its link that a daemon spends on sending snapshots
	// to starting daemons: 150 KB/s of 200 Mbit/s, 7.5 KB/s of 10 Mbit/s.
	snapshotLinkShare = 0.006
	// MaxRedirects is the number of redirects after which a request for a snapshot is answered
	// even if the budget is exhausted.
	MaxRedirects = 3
)

// snapshotBudget is a token bucket that limits the bytes of snapshots sent to other daemons. An
// answer may overdraw it, as its size is known only once it is encoded.
type snapshotBudget struct {
	bytesPerSecond float64
	// burst is the link time that may be spent at once; 0 means no limit.
	burst      time.Duration
	spentBytes float64
	refilledAt time.Time
	// lastSnapshotBytes is the size of the last snapshot in bytes.
	lastSnapshotBytes float64
}

// isExhausted reports whether no snapshot may be sent now.
func (b *snapshotBudget) isExhausted(now time.Time) bool {
	b.refill(now)
	limit := b.bytesPerSecond * b.burst.Seconds()
	return limit > 0 && b.spentBytes >= limit
}

// charge takes the size of the last snapshot from the bucket, as an estimate for the next one.
func (b *snapshotBudget) charge(now time.Time) {
	b.refill(now)
	b.spentBytes += b.lastSnapshotBytes
}

// recordSize records the size of an encoded snapshot in bytes.
func (b *snapshotBudget) recordSize(bytes int) {
	if b.lastSnapshotBytes == 0 {
		b.spentBytes += float64(bytes)
	}
	b.lastSnapshotBytes = float64(bytes)
}

func (b *snapshotBudget) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		b.spentBytes = max(0, b.spentBytes-now.Sub(b.refilledAt).Seconds()*b.bytesPerSecond*snapshotLinkShare)
	}
	b.refilledAt = now
}
