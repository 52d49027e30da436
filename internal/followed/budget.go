package followed

import "time"

const (
	// answersShare is how much of its link a daemon gives to whole contents for daemons
	// that start, on average: 150 KB/s of 200 Mbit/s, 7.5 KB/s of 10 Mbit/s.
	answersShare = 0.006
	// MostRedirects is how often an asker is sent on before it is answered all the same.
	MostRedirects = 3
)

// answerBudget bounds the bytes of whole contents that a daemon gives out (a token bucket).
// An answer may overdraw it: its length is known once it is given.
type answerBudget struct {
	bytesPerSecond float64
	// burst is how much of the link may be given at once; 0 is no bound.
	burst time.Duration
	spent float64
	at    time.Time
	// last is how many bytes the last whole content had.
	last float64
}

// isSpent reports whether no more is to be given now.
func (b *answerBudget) isSpent(now time.Time) bool {
	b.refill(now)
	most := b.bytesPerSecond * b.burst.Seconds()
	return most > 0 && b.spent >= most
}

// give takes in that a whole content is given, as long as the last one was.
func (b *answerBudget) give(now time.Time) {
	b.refill(now)
	b.spent += b.last
}

// note takes in how long a whole content became, in bytes.
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
