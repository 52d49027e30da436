package simulation

import (
	"time"

	"github.com/passtray/passtray/internal/followed"
)

// link transfers bytes at a fixed rate, in FIFO order.
type link struct {
	bytesPerSecond float64
	freeAt         time.Time
}

// transfer queues a transfer and returns the time until it is complete, including queued transfers.
func (l *link) transfer(now time.Time, bytes int64) time.Duration {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return l.freeAt.Sub(now)
}

// backlog returns the time until all queued transfers are complete.
func (l *link) backlog(now time.Time) time.Duration { return max(0, l.freeAt.Sub(now)) }

// Links models the network links of the store and of the daemons, and the sizes of answers.
type Links struct {
	// Store is the rate of the store's link in bytes per second; Daemon returns that of a daemon's
	// link.
	Store  float64
	Daemon func(daemon int) float64
	// ConfigurationBytes and TargetBytes are the sizes of entries in the store's answers.
	// AbortedBytes is the part of an answer over the reader's limit that is transferred before the
	// reader aborts it.
	ConfigurationBytes int64
	TargetBytes        int64
	AbortedBytes       int64
	// SnapshotBytes is the size of a snapshot sent between daemons. A daemon whose link has a
	// backlog of at least BusyBacklog serves no further peer.
	SnapshotBytes int64
	BusyBacklog   time.Duration

	// SentBytes counts the snapshot bytes that each daemon sent to peers.
	SentBytes map[int]int64

	store   link
	daemons map[int]*link
}

// NewLinks returns links for machines with two rates: every twentieth has 200 Mbit/s, the others 20
// Mbit/s.
func NewLinks() *Links {
	return &Links{
		Store: 125e6,
		Daemon: func(daemon int) float64 {
			if daemon%20 == 0 {
				return 25e6
			}
			return 2.5e6
		},
		ConfigurationBytes: 300 << 10, TargetBytes: 300, AbortedBytes: 64 << 10,
		SnapshotBytes: 64 << 10, BusyBacklog: 100 * time.Millisecond,
		SentBytes: map[int]int64{}, daemons: map[int]*link{},
	}
}

func (l *Links) daemonLink(daemon int) *link {
	existing := l.daemons[daemon]
	if existing == nil {
		existing = &link{bytesPerSecond: l.Daemon(daemon)}
		l.daemons[daemon] = existing
	}
	return existing
}

// answerBytes returns the size of an answer of the store.
func (l *Links) answerBytes(answer *followed.Answer) int64 {
	var bytes int64
	for index := range answer.Entries {
		if answer.Entries[index].Configuration != nil {
			bytes += l.ConfigurationBytes
			continue
		}
		bytes += l.TargetBytes
	}
	return bytes
}

// transferAnswer transfers an answer of the store over both links and returns the time it takes. An
// answer larger than the call's limit is aborted.
func (l *Links) transferAnswer(now time.Time, daemon int, call *followed.Call, answer *followed.Answer) time.Duration {
	l.store.bytesPerSecond = l.Store
	bytes := l.answerBytes(answer)
	if call.MaxBytes > 0 && bytes > call.MaxBytes {
		*answer = followed.Answer{Number: answer.Number, Outcome: followed.OutcomeTooLarge, Bytes: bytes}
		return l.store.transfer(now, l.AbortedBytes)
	}
	answer.Bytes = bytes
	return max(l.store.transfer(now, bytes), l.daemonLink(daemon).transfer(now, bytes))
}

// isBusy reports whether a daemon's link is too busy to serve another peer.
func (l *Links) isBusy(now time.Time, daemon int) bool {
	return l.daemonLink(daemon).backlog(now) >= l.BusyBacklog
}

// transferDelta transfers a delta from a peer over both links and returns the time it takes. Only
// snapshots count.
func (l *Links) transferDelta(now time.Time, from, to int, delta *followed.Delta) time.Duration {
	if delta.Since > 0 || len(delta.Entries) == 0 {
		return 0
	}
	l.SentBytes[from] += l.SnapshotBytes
	return max(l.daemonLink(from).transfer(now, l.SnapshotBytes), l.daemonLink(to).transfer(now, l.SnapshotBytes))
}
