// Package history records what happened in a run, as seen by callers, targets,
// operators and daemons, and judges it against the invariants that must always
// hold. Recording and judging are apart: a stored history can be judged again
// offline.
package history

import (
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Kind says what an event is.
type Kind uint8

// The kinds of events.
const (
	// CallInvoked: a caller begins an attempt at a request.
	CallInvoked Kind = iota + 1
	// CallReturned: the attempt ended with Outcome.
	CallReturned
	// RequestRun: a target ran a request.
	RequestRun
	// RequestCut: a target could not finish or answer a request it had begun.
	RequestCut
	// FeedOpened, FeedBroken and FeedClosed: a long-lived feed.
	FeedOpened
	FeedBroken
	FeedClosed
	// ConnectionOpened: a target accepted a new connection.
	ConnectionOpened
	// PacketForeign: a datagram of another service's caller reached a target.
	PacketForeign
	// ConfigurationAccepted: an operator was told that Revision is accepted.
	ConfigurationAccepted
	// ConfigurationApplied: a daemon has Revision in force.
	ConfigurationApplied
	// DaemonStarted, DaemonStopped: a daemon begins or ends.
	DaemonStarted
	DaemonStopped
	// TargetDrained: the operators were told that a drain is accepted.
	TargetDrained
	// TargetCrashed: a target ended without notice.
	TargetCrashed
	// DaemonsCut and DaemonsJoined: control traffic to or from a daemon stops
	// and flows again.
	DaemonsCut
	DaemonsJoined
	// RunEnded: the end of the run.
	RunEnded
)

// Outcome is what a caller was told.
type Outcome uint8

// The outcomes.
const (
	// OutcomeAnswered: the whole answer to this very request came.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun: the caller was told that the request did not run.
	OutcomeNotRun
	// OutcomeUnknown: nothing certain came back.
	OutcomeUnknown
	// OutcomeWrong: an answer came that is cut short or another request's.
	OutcomeWrong
)

// Event is one thing that happened. Which fields count depends on Kind.
type Event struct {
	// At is nanoseconds since the run's start.
	At       int64   `cbor:"1,keyasint"`
	Kind     Kind    `cbor:"2,keyasint"`
	Request  string  `cbor:"3,keyasint,omitempty"`
	Service  string  `cbor:"4,keyasint,omitempty"`
	Target   string  `cbor:"5,keyasint,omitempty"`
	Daemon   string  `cbor:"6,keyasint,omitempty"`
	Revision uint64  `cbor:"7,keyasint,omitempty"`
	Outcome  Outcome `cbor:"8,keyasint,omitempty"`
	Detail   string  `cbor:"9,keyasint,omitempty"`
}

// Log gathers events. It is safe for concurrent use.
type Log struct {
	mutex   sync.Mutex
	started time.Time
	events  []Event
}

// NewLog begins a log now.
func NewLog() *Log { return &Log{started: time.Now()} }

// Add stamps and keeps an event.
func (l *Log) Add(event Event) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	event.At = int64(time.Since(l.started))
	l.events = append(l.events, event)
}

// Events returns what was kept, in order of time.
func (l *Log) Events() []Event {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.events)
}

// Save writes events to a file.
func Save(path string, events []Event) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "history")
	}
	defer func() { _ = file.Close() }()
	encoder := cbor.NewEncoder(file)
	for _, event := range events {
		if err := encoder.Encode(event); err != nil {
			return eris.Wrap(err, "history")
		}
	}
	return eris.Wrap(file.Close(), "history")
}

// Load reads events from a file.
func Load(path string) ([]Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "history")
	}
	defer func() { _ = file.Close() }()
	decoder := cbor.NewDecoder(file)
	var events []Event
	for {
		var event Event
		err := decoder.Decode(&event)
		if eris.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return nil, eris.Wrapf(err, "history %s: event %d", path, len(events))
		}
		events = append(events, event)
	}
}
