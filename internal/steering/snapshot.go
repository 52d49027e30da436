// Package steering decides where one packet goes. It is pure: a decision
// depends on the packet and an immutable snapshot of what this daemon believes,
// and on a packet of an established flow it allocates nothing.
package steering

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/passtray/passtray/internal/balance"
	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/connectionid"
	"github.com/passtray/passtray/internal/membership"
	"github.com/passtray/passtray/internal/ownership"
)

// Target is one target that packets may still go to.
type Target struct {
	Number  catalog.TargetNumber
	Service *Service
	Name    string
	Address netip.AddrPort
	// Draining says that the operators drain it.
	Draining bool
	// Names is "service/target", by which a target recognises itself.
	Names  []byte
	Signal *balance.Signal
}

// Service is one service that is not retired.
type Service struct {
	Number   catalog.ServiceNumber
	Name     string
	Address  netip.AddrPort
	Protocol catalog.Protocol
	Priority catalog.Priority
	Limits   catalog.Limits
	// Targets and Candidates are the active targets, side by side.
	Targets    []*Target
	Candidates []balance.Candidate
	// Nodes are the same targets for a rendezvous hash.
	Nodes []ownership.Node
}

// Daemon is one daemon that may own flows.
type Daemon struct {
	Address netip.AddrPort
	IsSelf  bool
	// Peer is how it takes handovers; nil for this daemon itself.
	Peer *ownership.Peer
}

// Snapshot is what a daemon believes at one moment. It is immutable.
type Snapshot struct {
	// Revision orders configurations: the epoch's number above epochShift, the
	// catalog's revision below.
	Revision uint64
	Zone     string
	Keyring  *connectionid.Keyring

	// leaseEnds is until when the configuration is confirmed, in Unix
	// nanoseconds. It is the one part that moves: it is renewed far more often
	// than the rest changes.
	leaseEnds *atomic.Int64

	services map[netip.AddrPort]*Service
	targets  map[uint32]*Target
	daemons  []Daemon
	nodes    []ownership.Node
	peers    map[netip.AddrPort]bool
}

// Signals keeps one signal for every target through changes of configuration. It
// is used by one goroutine only.
type Signals struct {
	byNumber map[catalog.TargetNumber]*balance.Signal
}

// NewSignals makes an empty set.
func NewSignals() *Signals { return &Signals{byNumber: map[catalog.TargetNumber]*balance.Signal{}} }

func (s *Signals) get(number catalog.TargetNumber) *balance.Signal {
	signal := s.byNumber[number]
	if signal == nil {
		signal = &balance.Signal{}
		s.byNumber[number] = signal
	}
	return signal
}

func (s *Signals) forgetRetired(state *catalog.State) {
	for _, target := range state.Targets {
		if target.State == catalog.TargetRetired {
			delete(s.byNumber, target.Number)
		}
	}
}

// epochShift leaves room for 2^48 changes in an epoch.
const epochShift = 48

// Inputs are what a snapshot is made of.
type Inputs struct {
	State *catalog.State
	// Epoch is the number of the epoch the state is of.
	Epoch uint32
	Self  membership.Member
	// Live are the daemons that may own flows. Known are also those that left
	// lately: a leaving daemon hands over what still reaches it.
	Live    []membership.Member
	Known   []membership.Member
	Keyring *connectionid.Keyring
	// LeaseEnds is until when the configuration is confirmed, in Unix
	// nanoseconds; it is read at each decision.
	LeaseEnds *atomic.Int64
	Signals   *Signals
	Peers     *ownership.Peers
}

// Build makes a snapshot.
func Build(inputs *Inputs) *Snapshot {
	snapshot := &Snapshot{
		Revision:  uint64(inputs.Epoch)<<epochShift | inputs.State.Revision,
		Zone:      inputs.Self.Zone,
		Keyring:   inputs.Keyring,
		leaseEnds: inputs.LeaseEnds,
		services:  map[netip.AddrPort]*Service{},
		targets:   map[uint32]*Target{},
		peers:     map[netip.AddrPort]bool{},
	}
	byNumber := snapshot.addServices(inputs.State)
	snapshot.addTargets(inputs, byNumber)
	snapshot.addPeers(inputs)
	snapshot.addDaemons(inputs)
	inputs.Signals.forgetRetired(inputs.State)
	return snapshot
}

func (s *Snapshot) addServices(state *catalog.State) map[catalog.ServiceNumber]*Service {
	byNumber := map[catalog.ServiceNumber]*Service{}
	for _, declared := range state.Services {
		if declared.Retired {
			continue
		}
		service := &Service{
			Number: declared.Number, Name: declared.Name, Address: declared.Address,
			Protocol: declared.Protocol, Priority: declared.Priority, Limits: declared.Limits,
		}
		byNumber[declared.Number] = service
		s.services[declared.Address] = service
	}
	return byNumber
}

func (s *Snapshot) addTargets(inputs *Inputs, byNumber map[catalog.ServiceNumber]*Service) {
	for _, declared := range inputs.State.Targets {
		service := byNumber[declared.Service]
		if service == nil || declared.State == catalog.TargetRetired {
			continue
		}
		signal := inputs.Signals.get(declared.Number)
		target := &Target{
			Number: declared.Number, Service: service, Name: declared.Name, Address: declared.Address,
			Names: []byte(service.Name + "/" + declared.Name), Signal: signal,
			Draining: declared.State == catalog.TargetDraining,
		}
		s.targets[uint32(declared.Number)] = target
		if declared.State != catalog.TargetActive || declared.Weight == 0 {
			continue
		}
		service.Targets = append(service.Targets, target)
		service.Candidates = append(service.Candidates, balance.Candidate{
			Signal: signal, Weight: declared.Weight, Cap: service.Limits.ConnectionsPerTarget,
			Zone: declared.Zone, Since: time.Unix(declared.AddedAt, 0),
		})
		service.Nodes = append(service.Nodes, ownership.Node{
			Seed: ownership.SeedOf(target.Names), Weight: float64(declared.Weight),
		})
	}
}

func (s *Snapshot) addPeers(inputs *Inputs) {
	for _, member := range inputs.Known {
		if member.Identity != inputs.Self.Identity {
			s.peers[member.DataAddress] = true
		}
	}
	inputs.Peers.Retain(s.peers)
}

func (s *Snapshot) addDaemons(inputs *Inputs) {
	for _, member := range inputs.owners() {
		daemon := Daemon{Address: member.DataAddress, IsSelf: member.Identity == inputs.Self.Identity}
		if !daemon.IsSelf {
			daemon.Peer = inputs.Peers.Get(member.DataAddress)
		}
		s.daemons = append(s.daemons, daemon)
		s.nodes = append(s.nodes, ownership.Node{Seed: ownership.SeedOf([]byte(member.DataAddress.String())), Weight: 1})
	}
}

// owners are the daemons that may own flows: those present. A daemon to which
// half of all others seem to have died has more likely been cut off itself; on
// the data path it may still reach them, and it must not take every flow for its
// own. So it keeps them as owners, and passes over those that do not acknowledge.
func (i *Inputs) owners() []membership.Member {
	present := map[netip.AddrPort]bool{}
	for _, member := range i.Live {
		present[member.DataAddress] = true
	}
	owners := slices.Clone(i.Live)
	for _, member := range i.Known {
		if member.Status == membership.Dead && !present[member.DataAddress] {
			present[member.DataAddress] = true
			owners = append(owners, member)
		}
	}
	if 2*len(i.Live) > len(owners) {
		return i.Live
	}
	return owners
}

// LeaseEnds returns until when the configuration is confirmed.
func (s *Snapshot) LeaseEnds() time.Time { return time.Unix(0, s.leaseEnds.Load()) }

// Daemons returns the live daemons. The slice must not be changed.
func (s *Snapshot) Daemons() []Daemon { return s.daemons }

// Targets returns all targets by number. The map must not be changed.
func (s *Snapshot) Targets() map[uint32]*Target { return s.targets }

// Service returns the service at an address, nil if there is none.
func (s *Snapshot) Service(address netip.AddrPort) *Service { return s.services[address] }

// Services returns all services by address. The map must not be changed.
func (s *Snapshot) Services() map[netip.AddrPort]*Service { return s.services }

// Target returns a target by number, nil if it is retired or unknown.
func (s *Snapshot) Target(number uint32) *Target { return s.targets[number] }

// IsPeer reports whether an address is the data address of a daemon that lives
// or left lately.
func (s *Snapshot) IsPeer(address netip.AddrPort) bool { return s.peers[address] }

// Owner returns the daemon that owns a flow, nil if no daemon is known. Daemons
// that do not acknowledge handovers are passed over.
func (s *Snapshot) Owner(key ownership.FlowKey) *Daemon {
	index := ownership.RendezvousUnweighted(key.Hash, s.nodes, func(index int) bool {
		peer := s.daemons[index].Peer
		return peer != nil && peer.IsAvoided()
	})
	if index < 0 {
		return nil
	}
	return &s.daemons[index]
}

// NextOwner returns the daemon that owns a flow when this one does not, nil if
// there is none: the one to take over if this daemon dies, and the one that owned
// the flow before if this daemon has just joined.
func (s *Snapshot) NextOwner(key ownership.FlowKey) *Daemon {
	index := ownership.RendezvousUnweighted(key.Hash, s.nodes, func(index int) bool {
		daemon := &s.daemons[index]
		return daemon.IsSelf || daemon.Peer.IsAvoided()
	})
	if index < 0 || s.daemons[index].IsSelf {
		return nil
	}
	return &s.daemons[index]
}

// Watches reports whether this daemon is among the few drawn for a target, those
// that ask it for its report. All daemons that know the same members draw the
// same few.
func (s *Snapshot) Watches(target *Target, watchers int) bool {
	hash := ownership.SeedOf(target.Names)
	for watcher := range uint64(watchers) {
		if len(s.daemons) > 0 && s.daemons[ownership.Draw(hash, watcher, len(s.daemons))].IsSelf {
			return true
		}
	}
	return false
}
