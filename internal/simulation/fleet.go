package simulation

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/control"
	"github.com/passtray/passtray/internal/identity"
	"github.com/passtray/passtray/internal/membership"
)

const (
	tickInterval = 50 * time.Millisecond
	controlPort  = 7000
	sealOverhead = 40 // bytes of seal and UDP header that each datagram costs
)

// Daemon is one simulated machine and the daemon that runs on it, if any.
type Daemon struct {
	Address netip.AddrPort
	Zone    string
	Core    *control.Core
	// PausedUntil is when a paused daemon wakes.
	PausedUntil time.Time
	// DatagramBytes and StreamBytes count what the daemon has sent.
	DatagramBytes int64
	StreamBytes   int64

	generation int
	start      uint64
	// clockAhead is added to the start, as by a wrong clock.
	clockAhead uint64
	highest    uint64
}

// Fleet is many daemons on one virtual network.
type Fleet struct {
	Clock   *Clock
	Random  *rand.Rand
	Config  control.Config
	Network NetworkConfig
	Daemons []*Daemon
	// Cut reports whether messages from one daemon to another are dropped; it
	// may differ by direction. Callers' calls to Submit are never cut.
	Cut func(from, to int) bool
	// Tamper, if set, may change a message on its way: a double of a daemon that
	// breaks a rule, for showing that the checks find it.
	Tamper func(message *control.PeerMessage)
	// KeepIdentity makes a restarted daemon come back under its old identity, as
	// one that trusts a lost disk would.
	KeepIdentity bool
	// MeasureStreams makes streams count their encoded size, at some cost.
	MeasureStreams bool
	// Violations are broken invariants, in words.
	Violations []string
	// OnEvent, if set, sees every event of every daemon.
	OnEvent func(daemon int, event control.Event)

	byAddress map[netip.AddrPort]int
	seeds     []netip.AddrPort
	results   map[uint64]func(control.ProposalResult)
	token     uint64
	leaders   map[string]identity.Identity
	states    map[string][]byte
	// committed is the term of each committed index that any replica held.
	committed map[string]uint64
}

// NewFleet makes count machines spread over zones; none runs a daemon yet.
func NewFleet(seed uint64, count int, zones []string, config control.Config, network NetworkConfig) *Fleet {
	fleet := &Fleet{
		Clock:     NewClock(),
		Random:    rand.New(rand.NewPCG(seed, 0)),
		Config:    config,
		Network:   network,
		byAddress: map[netip.AddrPort]int{},
		results:   map[uint64]func(control.ProposalResult){},
		leaders:   map[string]identity.Identity{},
		states:    map[string][]byte{},
		committed: map[string]uint64{},
	}
	for index := range count {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(index >> 16), byte(index >> 8), byte(index)}), controlPort)
		fleet.Daemons = append(fleet.Daemons, &Daemon{Address: address, Zone: zones[index%len(zones)]})
		fleet.byAddress[address] = index
		fleet.seeds = append(fleet.seeds, address)
	}
	return fleet
}

// SetSeeds replaces the machine list that daemons started from now on get.
func (f *Fleet) SetSeeds(seeds []netip.AddrPort) { f.seeds = seeds }

// Start runs a new daemon on a machine, after whatever ran there before.
func (f *Fleet) Start(index int) {
	daemon := f.Daemons[index]
	daemon.generation++
	daemon.highest = 0
	daemon.PausedUntil = time.Time{}
	now := f.Clock.Now()
	self := membership.Member{
		Identity:    identity.Identity{Address: daemon.Address, Start: identity.NewStart(now.UnixMilli(), f.Random.Uint64())},
		DataAddress: daemon.Address,
		Zone:        daemon.Zone,
	}
	if f.KeepIdentity && daemon.start != 0 {
		self.Identity.Start = daemon.start
	}
	self.Identity.Start += daemon.clockAhead
	daemon.start = self.Identity.Start
	daemon.Core = control.NewCore(f.Config, self, now, rand.New(rand.NewPCG(f.Random.Uint64(), uint64(index))))
	daemon.Core.SetSeeds(f.seeds)
	generation := daemon.generation
	f.Clock.After(time.Duration(f.Random.Int64N(int64(tickInterval))), func() { f.tick(index, generation) })
}

// StartAll runs a daemon on every machine.
func (f *Fleet) StartAll() {
	for index := range f.Daemons {
		f.Start(index)
	}
}

// Crash ends a daemon without a word.
func (f *Fleet) Crash(index int) {
	f.Daemons[index].generation++
	f.Daemons[index].Core = nil
}

// Pause stops a daemon for a while; what reaches it meanwhile waits.
func (f *Fleet) Pause(index int, span time.Duration) {
	f.Daemons[index].PausedUntil = f.Clock.Now().Add(span)
}

// Leave lets a daemon say good-bye.
func (f *Fleet) Leave(index int) {
	f.carry(index, f.Daemons[index].Core.Leave(f.Clock.Now()))
}

// Recover forces a new group from one daemon's configuration.
func (f *Fleet) Recover(index int) {
	f.carry(index, f.Daemons[index].Core.Recover(f.Clock.Now()))
}

func (f *Fleet) tick(index, generation int) {
	daemon := f.Daemons[index]
	if daemon.generation != generation {
		return
	}
	if wait := daemon.PausedUntil.Sub(f.Clock.Now()); wait > 0 {
		f.Clock.After(wait, func() { f.tick(index, generation) })
		return
	}
	f.carry(index, daemon.Core.Tick(f.Clock.Now()))
	f.Clock.After(tickInterval, func() { f.tick(index, generation) })
}

// Submit gives a change to one daemon; done is called with the answer, unless
// the daemon dies first.
func (f *Fleet) Submit(index int, change *catalog.Change, done func(control.ProposalResult)) {
	f.token++
	f.results[f.token] = done
	f.carry(index, f.Daemons[index].Core.Submit(f.Clock.Now(), f.token, change))
}

// carry takes a core's output through the network and checks what must hold.
func (f *Fleet) carry(index int, output control.Output) {
	daemon := f.Daemons[index]
	for _, datagram := range output.Datagrams {
		f.carryDatagram(index, datagram)
	}
	for _, message := range output.Streams {
		f.carryStream(index, message)
	}
	for _, result := range output.Results {
		if done := f.results[result.Token]; done != nil {
			delete(f.results, result.Token)
			done(result)
		}
	}
	for _, happened := range output.Events {
		if f.OnEvent != nil {
			f.OnEvent(index, happened)
		}
	}
	if daemon.Core != nil {
		f.check(index, daemon)
	}
}

func (f *Fleet) carryDatagram(from int, datagram control.Datagram) {
	f.Daemons[from].DatagramBytes += int64(len(datagram.Bytes) + sealOverhead)
	to, exists := f.byAddress[datagram.To]
	if !exists || f.isCut(from, to) || f.Random.Float64() < f.Network.Loss {
		return
	}
	copies := 1
	if f.Random.Float64() < f.Network.Duplication {
		copies = 2
	}
	for range copies {
		f.deliver(to, func(core *control.Core, now time.Time) control.Output {
			return core.HandleDatagram(now, f.Daemons[from].Address, datagram.Bytes)
		})
	}
}

func (f *Fleet) carryStream(from int, message control.StreamMessage) {
	if f.MeasureStreams {
		encoded, err := cbor.Marshal(message.Message)
		if err != nil {
			panic(err)
		}
		f.Daemons[from].StreamBytes += int64(len(encoded))
	}
	to, exists := f.byAddress[message.To]
	if !exists || f.isCut(from, to) || f.Random.Float64() < f.Network.Loss/10 {
		return
	}
	if f.Tamper != nil {
		f.Tamper(&message.Message)
	}
	f.deliver(to, func(core *control.Core, now time.Time) control.Output {
		return core.HandleStream(now, &message.Message)
	})
}

func (f *Fleet) isCut(from, to int) bool { return f.Cut != nil && f.Cut(from, to) }

// deliver hands a message over after the network's delay; a paused daemon gets
// it when it wakes, a daemon that has been replaced meanwhile gets it too.
func (f *Fleet) deliver(to int, handle func(*control.Core, time.Time) control.Output) {
	spread := int64(f.Network.MaximumDelay - f.Network.MinimumDelay)
	delay := f.Network.MinimumDelay + time.Duration(f.Random.Int64N(max(spread, 1)))
	f.Clock.After(delay, func() { f.receive(to, handle) })
}

func (f *Fleet) receive(to int, handle func(*control.Core, time.Time) control.Output) {
	daemon := f.Daemons[to]
	if daemon.Core == nil {
		return
	}
	if wait := daemon.PausedUntil.Sub(f.Clock.Now()); wait > 0 {
		f.Clock.After(wait, func() { f.receive(to, handle) })
		return
	}
	f.carry(to, handle(daemon.Core, f.Clock.Now()))
}

func (f *Fleet) violate(format string, values ...any) {
	f.Violations = append(f.Violations, fmt.Sprintf("%s: ", f.Clock.Now().Format("15:04:05.000"))+fmt.Sprintf(format, values...))
}

// check holds a daemon against the safety properties after each of its steps:
// one leader a term (election safety), one term a committed index (log matching,
// leader completeness), one state a version (state machine safety), and no
// revision that falls.
func (f *Fleet) check(index int, daemon *Daemon) {
	replica := daemon.Core.Replica()
	if daemon.Core.IsLeader() {
		key := fmt.Sprint(replica.Epoch(), replica.Term())
		if leader, known := f.leaders[key]; known && leader != daemon.Core.Self() {
			f.violate("two leaders in %s: %s and %s", key, leader, daemon.Core.Self())
		}
		f.leaders[key] = daemon.Core.Self()
	}
	f.checkCommitted(index, daemon)
	revision := daemon.Core.State().Revision
	if revision < daemon.highest {
		f.violate("daemon %d fell from revision %d to %d", index, daemon.highest, revision)
	}
	if revision > daemon.highest {
		f.checkState(index, daemon)
	}
	daemon.highest = max(daemon.highest, revision)
}

// checkCommitted holds that one index is committed in one term only, or an
// accepted entry was replaced (leader completeness and log matching).
func (f *Fleet) checkCommitted(index int, daemon *Daemon) {
	replica := daemon.Core.Replica()
	term, committed := replica.CommittedEntry()
	if replica.Epoch().IsZero() || committed == 0 {
		return
	}
	key := fmt.Sprint(replica.Epoch(), committed)
	if other, known := f.committed[key]; known && other != term {
		f.violate("daemon %d has %s committed in term %d, another in term %d", index, key, term, other)
	}
	f.committed[key] = term
}

func (f *Fleet) checkState(index int, daemon *Daemon) {
	version := daemon.Core.Version()
	key := fmt.Sprint(version)
	encoded := daemon.Core.State().Encode()
	if other, known := f.states[key]; known && string(other) != string(encoded) {
		f.violate("daemon %d holds another state at %s", index, key)
	}
	f.states[key] = encoded
}

// RevisionsInForce returns the lowest and highest revision on running daemons.
func (f *Fleet) RevisionsInForce() (uint64, uint64) {
	lowest, highest := ^uint64(0), uint64(0)
	for _, daemon := range f.Daemons {
		if daemon.Core == nil {
			continue
		}
		revision := daemon.Core.State().Revision
		lowest, highest = min(lowest, revision), max(highest, revision)
	}
	return lowest, highest
}
