package storelab

import (
	"net/netip"
	"sync"
	"time"
)

// Kind is the type of an event.
type Kind uint8

const (
	// RouteAllowed and RouteForbidden: a configuration was stored that adds a service to a
	// route, or removes one from it.
	RouteAllowed Kind = iota + 1
	RouteForbidden
	TargetStarted
	// TargetDraining: the target's entry in the store was marked as draining or removed.
	TargetDraining
	TargetEnded
	// FaultStarted: a fault began.
	FaultStarted
	// OpeningAccepted: a target accepted the first packet of a flow.
	OpeningAccepted
	// FlowOpened: the handshake of a flow is complete at its target.
	FlowOpened
	// FlowReset: a flow's caller received a reset from a daemon.
	FlowReset
	RequestSent
	RequestRan
	RequestAnswered
	// RequestFailed: the caller abandoned a request.
	RequestFailed
	// DaemonExited: a daemon's process exited unexpectedly.
	DaemonExited
	// DaemonSignalled: a daemon's process was sent a signal that it has to handle.
	DaemonSignalled
)

// Flow identifies a flow by its caller's address and its destination.
type Flow struct{ Caller, Route netip.AddrPort }

// Event is something that was observed from outside the daemons.
type Event struct {
	// At is relative to the start of the run.
	At      time.Duration
	Kind    Kind
	Flow    Flow
	Target  uint64
	Service string
	Request uint64
	// IsIdempotent means that the request is idempotent and may run more than once.
	IsIdempotent bool
	// Duration is the duration of a fault, or the age of the first packet of a flow if known.
	Duration time.Duration
	Detail   string
}

// Recorder collects events. It is safe for concurrent use.
type Recorder struct {
	began  time.Time
	mutex  sync.Mutex
	events []Event
}

// NewRecorder creates a recorder. Times of events are relative to this call.
func NewRecorder() *Recorder { return &Recorder{began: time.Now()} }

// Record records an event with the current time.
func (r *Recorder) Record(event Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	event.At = time.Since(r.began)
	r.events = append(r.events, event)
}

// Events returns a copy of all events in order of their times.
func (r *Recorder) Events() []Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Event(nil), r.events...)
}
