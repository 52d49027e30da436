// Package history records the events of a run, as observed by callers, targets,
// operators and daemons, and checks invariants against them. A stored history can be
// checked again offline.
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

// Kind is the type of an event.
type Kind uint8

const (
	// CallInvoked: a caller begins an attempt at a request.
	CallInvoked Kind = iota + 1
	// CallReturned: the attempt ended with Outcome.
	CallReturned
	// RequestRun: a target started to process a request.
	RequestRun
	// ResponseFailed: a target could not send its response to a request.
	ResponseFailed
	// FeedOpened, FeedBroken and FeedClosed: a feed's first event was received, the feed failed,
	// or the run ended while it was open.
	FeedOpened
	FeedBroken
	FeedClosed
	// ConnectionOpened: a target accepted a new connection.
	ConnectionOpened
	// ForeignPacketReceived: a datagram for another service reached a target.
	ForeignPacketReceived
	// ConfigurationAccepted: an operator's change was acknowledged with Revision.
	ConfigurationAccepted
	// ConfigurationApplied: Revision is active on a daemon.
	ConfigurationApplied
	DaemonStarted
	DaemonStopped
	// TargetDrained: an operator's drain of a target was acknowledged.
	TargetDrained
	// TargetCrashed: a target stopped without draining.
	TargetCrashed
	// DaemonUnreachable and DaemonReachable: a pause or network partition of a daemon began or ended.
	DaemonUnreachable
	DaemonReachable
	RunEnded
)

// Outcome is the result of an attempt, as observed by its caller.
type Outcome uint8

const (
	// OutcomeAnswered: a complete response to the request was received.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun: the request is known not to have run.
	OutcomeNotRun
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown
	// OutcomeWrong: the response is corrupt or belongs to another request.
	OutcomeWrong
)

// Event is one observed event. Kind determines which fields are set.
type Event struct {
	// At is the time since the start of the run in nanoseconds.
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

// Log collects events. It is safe for concurrent use.
type Log struct {
	mutex   sync.Mutex
	started time.Time
	events  []Event
}

// NewLog creates a log. Times of events are relative to this call.
func NewLog() *Log { return &Log{started: time.Now()} }

// Add appends an event with the current time.
func (l *Log) Add(event Event) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	event.At = int64(time.Since(l.started))
	l.events = append(l.events, event)
}

// Events returns a copy of all events in order of their times.
func (l *Log) Events() []Event {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.events)
}

// Save writes events to a file as a sequence of CBOR items.
func Save(path string, events []Event) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create history file")
	}
	defer func() { _ = file.Close() }()
	encoder := cbor.NewEncoder(file)
	for _, event := range events {
		if err := encoder.Encode(event); err != nil {
			return eris.Wrap(err, "write history")
		}
	}
	return eris.Wrap(file.Close(), "close history file")
}

// Load reads events from a file that Save wrote.
func Load(path string) ([]Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open history file")
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
			return nil, eris.Wrapf(err, "history %s: read event %d", path, len(events))
		}
		events = append(events, event)
	}
}
