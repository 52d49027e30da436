package followed

import "time"

const (
	// answersShare is the average share of its link that a daemon spends on sending snapshots
	// to starting daemons.
	answersShare = 0.006
	// MostRedirects is the number of redirects after which a request for a snapshot is answered
	// even if the budget is exhausted.
	MostRedirects = 3
)

// answerBudget is a token bucket that limits the bytes of snapshots sent to other daemons. An
// answer may overdraw it, as its size is known only once it is encoded.
type answerBudget struct {
	bytesPerSecond float64
	// burst is the share of link time that may be spent at once; 0 means no limit.
	burst time.Duration
	spent float64
	at    time.Time
	// last is the size of the last snapshot in bytes.
	last float64
}

// isSpent reports whether no snapshot may be sent now.
func (b *answerBudget) isSpent(now time.Time) bool {
	b.refill(now)
	most := b.bytesPerSecond * b.burst.Seconds()
	return most > 0 && b.spent >= most
}

// give charges the bucket for a snapshot, estimated at the size of the last one.
func (b *answerBudget) give(now time.Time) {
	b.refill(now)
	b.spent += b.last
}

// note records the size of an encoded snapshot in bytes.
func (b *answerBudget) note(bytes int) {
	if b.last == 0 {
		b.spent += float64(bytes)
	}
	b.last = float64(bytes)
}

func (b *answerBudget) refill(now time.Time) {
	if !b.at.IsZero() {
		b.spent = max(0, b.spent-now.Sub(b.at).Seconds()*b.bytesPerSecond*answersShare)
	}
	b.at = now
}
