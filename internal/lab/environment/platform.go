package environment

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/platform"
)

// PlatformState is how the platform's service behaves.
type PlatformState uint8

// The states.
const (
	// PlatformUp answers with the truth of Lag ago.
	PlatformUp PlatformState = iota
	// PlatformStale answers with what it knew when it became stale.
	PlatformStale
	// PlatformDown answers with an error.
	PlatformDown
)

// Platform is the stand-in of the read-only service.
type Platform struct {
	lag    time.Duration
	server *http.Server

	mutex   sync.Mutex
	state   PlatformState
	entries []platformEntry
	frozen  platform.MachineList
	// document is the configuration served, in whatever state.
	document catalog.Document
}

type platformEntry struct {
	from time.Time
	list platform.MachineList
}

// StartPlatform serves an empty machine list.
func StartPlatform(address netip.AddrPort, lag time.Duration) (*Platform, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "platform %s", address)
	}
	stand := &Platform{lag: lag}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", stand.serveMachines)
	mux.HandleFunc("GET /configuration", stand.serveConfiguration)
	stand.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() {
		// Serve ends when the stand-in is closed.
		_ = stand.server.Serve(listener)
	}()
	return stand, nil
}

// SetMachines changes the truth; callers see it after the lag.
func (p *Platform) SetMachines(machines []platform.Machine) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	from := time.Now().Add(p.lag)
	if len(p.entries) == 0 {
		from = time.Time{}
	}
	p.entries = append(p.entries, platformEntry{from: from, list: platform.MachineList{Machines: machines}})
}

// SetDocument replaces the configuration document, also by an older one.
func (p *Platform) SetDocument(document catalog.Document) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.document = document
}

func (p *Platform) serveConfiguration(writer http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.state == PlatformDown || p.document.Revision == 0 {
		http.Error(writer, "there is no document", http.StatusServiceUnavailable)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(p.document)
}

// SetState changes how the service behaves.
func (p *Platform) SetState(state PlatformState) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if state == PlatformStale {
		p.frozen = p.visible()
	}
	p.state = state
}

// visible is called with the mutex held.
func (p *Platform) visible() platform.MachineList {
	var list platform.MachineList
	now := time.Now()
	for _, entry := range p.entries {
		if !now.Before(entry.from) {
			list = entry.list
		}
	}
	return list
}

func (p *Platform) serveMachines(writer http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.frozen
	switch p.state {
	case PlatformDown:
		http.Error(writer, "the platform is down", http.StatusServiceUnavailable)
		return
	case PlatformUp:
		list = p.visible()
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(list)
}

// Close ends the service.
func (p *Platform) Close() { _ = p.server.Close() }
