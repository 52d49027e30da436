//go:build review

package main

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/passtray/passtray/internal/lab/environment"
	"github.com/passtray/passtray/internal/storeview"
	"github.com/passtray/passtray/platform"
)

const (
	// heartbeat is HeartbeatMs of the settings; an entry goes after entryLifetime without a write.
	heartbeat     = 1200 * time.Millisecond
	entryLifetime = 3 * heartbeat
)

// store is the platform's store with entries of targets that expire.
type store struct {
	*environment.Store
	record *record
	server *http.Server

	mutex sync.Mutex
	// written holds the latest write of each target's entry.
	written map[uint64]storeview.Target
	expiry  map[uint64]*time.Timer
}

func startStore(address netip.AddrPort, record *record) (*store, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	s := &store{
		Store: environment.NewStore(), record: record,
		written: map[uint64]storeview.Target{}, expiry: map[uint64]*time.Timer{},
	}
	s.server = &http.Server{Handler: platform.Handler(s.Store), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }() // ends with the process
	return s, nil
}

// writeTarget does the write of a target's entry. The entry changes when more than its sequence
// number does.
func (s *store) writeTarget(target storeview.Target) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	identifier := target.Identifier
	if timer := s.expiry[identifier]; timer != nil {
		timer.Stop()
	}
	s.expiry[identifier] = time.AfterFunc(entryLifetime, func() { s.removeTarget(identifier, "expired") })
	if previous, found := s.written[identifier]; found && previous == target {
		return
	}
	s.written[identifier] = target
	revision := s.Put(storeview.Entry{Key: platform.TargetKey(identifier), Target: &target})
	s.record.addf("store: entry of target %x at %s, service %s, draining %t, cold for %s, revision %d",
		identifier, target.Address, target.Service, target.Draining, target.SlowStartRemaining, revision)
}

// removeTarget removes a target's entry.
func (s *store) removeTarget(identifier uint64, reason string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, found := s.written[identifier]; !found {
		return
	}
	delete(s.written, identifier)
	s.expiry[identifier].Stop()
	revision := s.Put(storeview.Entry{Key: platform.TargetKey(identifier)})
	s.record.addf("store: entry of target %x gone (%s), revision %d", identifier, reason, revision)
}
