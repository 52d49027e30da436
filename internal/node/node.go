// Package node wires one daemon: the control core to its sockets and timers,
// the data path to its workers, and both to the operators' interface and
// telemetry.
package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rotisserie/eris"

	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/connectionid"
	"github.com/passtray/passtray/internal/control"
	"github.com/passtray/passtray/internal/dissemination"
	"github.com/passtray/passtray/internal/forwarding"
	"github.com/passtray/passtray/internal/identity"
	"github.com/passtray/passtray/internal/membership"
	"github.com/passtray/passtray/internal/operator"
	"github.com/passtray/passtray/internal/ownership"
	"github.com/passtray/passtray/internal/peering"
	"github.com/passtray/passtray/internal/pki"
	"github.com/passtray/passtray/internal/seal"
	"github.com/passtray/passtray/internal/settings"
	"github.com/passtray/passtray/internal/steering"
	"github.com/passtray/passtray/internal/telemetry"
)

const (
	tickInterval = 50 * time.Millisecond
	inboxLength  = 1024
	// stuckAfter is how long the control loop may be silent before the process
	// counts as broken.
	stuckAfter = 10 * time.Second
)

// Options are what a lab changes; a daemon uses the zero value.
type Options struct {
	Mode SteeringMode
	// WrapSocket, if set, may put delays or cuts around a data socket.
	WrapSocket func(forwarding.Socket) forwarding.Socket
	// Reachable, if set, cuts control traffic to a peer.
	Reachable func(peer netip.AddrPort) bool
}

// Node is one running daemon.
type Node struct {
	settings    settings.Settings
	options     Options
	log         logr.Logger
	credentials *pki.Store
	keyring     atomic.Pointer[connectionid.Keyring]
	leaseEnds   atomic.Int64

	core      *control.Core
	inbox     chan func(now time.Time)
	transport *peering.Transport
	plane     *dataPlane
	workers   forwarding.Group
	sockets   []forwarding.Socket
	operator  *operator.Server
	telemetry *telemetry.Server
	signals   *steering.Signals
	peers     *ownership.Peers

	token    uint64
	results  map[uint64]chan control.ProposalResult
	statuses map[uint64]chan control.FleetStatus

	view      atomic.Pointer[view]
	watchers  watchers
	draining  atomic.Bool
	caughtUp  atomic.Bool
	lastTick  atomic.Int64
	nextProbe time.Time

	ctx     context.Context
	cancel  context.CancelFunc
	waiting sync.WaitGroup
}

// view is what other goroutines may read of the control core.
type view struct {
	state   *catalog.State
	version dissemination.Version
	live    []membership.Member
	voter   bool
	leader  bool
}

// Start brings a daemon up.
func Start(given settings.Settings, log logr.Logger, options Options) (*Node, error) {
	if options.Mode == "" {
		options.Mode = ModeOwner
	}
	ctx, cancel := context.WithCancel(context.Background())
	node := &Node{
		settings: given, options: options, log: log,
		inbox:    make(chan func(time.Time), inboxLength),
		signals:  steering.NewSignals(),
		peers:    ownership.NewPeers(),
		results:  map[uint64]chan control.ProposalResult{},
		statuses: map[uint64]chan control.FleetStatus{},
		ctx:      ctx, cancel: cancel,
	}
	if err := node.open(); err != nil {
		node.Kill()
		return nil, err
	}
	node.waiting.Add(1)
	go node.loop()
	node.transport.Start()
	if given.Platform.URL != "" {
		node.waiting.Add(1)
		go node.readPlatform()
	}
	log.Info("daemon started", telemetry.FieldAddress, given.Control.String(), telemetry.FieldZone, given.Zone)
	return node, nil
}

func (n *Node) open() error {
	var err error
	if n.credentials, err = pki.Load(pki.Files(n.settings.TLS)); err != nil {
		return err
	}
	keyring, err := connectionid.LoadKeyring(n.settings.Keyring)
	if err != nil {
		return err
	}
	n.keyring.Store(keyring)
	sealer, err := seal.Load(n.settings.FleetKey)
	if err != nil {
		return err
	}
	n.transport, err = peering.Listen(peering.Config{
		Address: n.settings.Control, Credentials: n.credentials, Sealer: sealer,
		Handler: n, Logger: n.log, Reachable: n.options.Reachable,
	})
	if err != nil {
		return err
	}
	n.openCore()
	if err := n.openData(); err != nil {
		return err
	}
	n.operator, err = operator.Serve(n.settings.Operator, n.credentials, n)
	if err != nil {
		return err
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(newCollector(n), collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	n.telemetry, err = telemetry.Serve(n.settings.Telemetry, registry, n)
	return err
}

func (n *Node) openCore() {
	now := time.Now()
	config := control.DefaultLANConfig()
	config.Voters = n.settings.Voters
	config.LeaseDuration = n.settings.Lease
	self := membership.Member{
		Identity:    identity.Identity{Address: n.settings.Control, Start: identity.NewStart(now.UnixMilli(), rand.Uint64())},
		DataAddress: n.settings.Data.Backend,
		Zone:        n.settings.Zone,
	}
	n.core = control.NewCore(config, self, now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	n.core.SetSeeds(n.settings.Peers)
	n.lastTick.Store(now.UnixNano())
}

// loop is the only goroutine that touches the core.
func (n *Node) loop() {
	defer n.waiting.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case run := <-n.inbox:
			run(time.Now())
		case <-ticker.C:
			now := time.Now()
			n.lastTick.Store(now.UnixNano())
			n.carry(n.core.Tick(now))
			n.probeTargets(now)
		}
	}
}

// enqueue hands work to the loop. It reports false once the node has stopped.
func (n *Node) enqueue(run func(now time.Time)) bool {
	select {
	case n.inbox <- run:
		return true
	case <-n.ctx.Done():
		return false
	}
}

// HandleDatagram serves the transport.
func (n *Node) HandleDatagram(from netip.AddrPort, datagram []byte) {
	n.enqueue(func(now time.Time) { n.carry(n.core.HandleDatagram(now, from, datagram)) })
}

// HandleStream serves the transport.
func (n *Node) HandleStream(message *control.PeerMessage) {
	n.enqueue(func(now time.Time) { n.carry(n.core.HandleStream(now, message)) })
}

// carry takes the core's output to the outside.
func (n *Node) carry(output control.Output) {
	for _, datagram := range output.Datagrams {
		n.transport.SendDatagram(datagram.To, datagram.Bytes)
	}
	for _, message := range output.Streams {
		n.transport.SendStream(message.To, message.Message)
	}
	for _, event := range output.Events {
		n.log.Info(string(event.Kind), telemetry.FieldDetail, event.Detail)
	}
	n.caughtUp.Store(n.core.IsCaughtUp(time.Now()))
	if ends := n.core.LeaseEnds(); !ends.IsZero() {
		n.leaseEnds.Store(ends.UnixNano())
	}
	if output.ConfigurationChanged || output.MembersChanged || len(output.Events) > 0 {
		n.publish(output.ConfigurationChanged)
	}
	for _, result := range output.Results {
		if waiting := n.results[result.Token]; waiting != nil {
			delete(n.results, result.Token)
			waiting <- result
		}
	}
	for _, status := range output.Statuses {
		if waiting := n.statuses[status.Token]; waiting != nil {
			delete(n.statuses, status.Token)
			waiting <- status
		}
	}
}

// publish makes what the core believes known to the workers and the operators.
func (n *Node) publish(configurationChanged bool) {
	live := n.core.Live()
	state := n.core.State()
	n.plane.snapshot.Store(n.buildSnapshot())
	n.view.Store(&view{
		state: state, version: n.core.Version(), live: live,
		voter: n.core.IsVoter(), leader: n.core.IsLeader(),
	})
	if configurationChanged {
		n.log.V(1).Info("configuration in force", telemetry.FieldRevision, state.Revision)
		n.watchers.notify()
	}
}

func (n *Node) buildSnapshot() *steering.Snapshot {
	return steering.Build(&steering.Inputs{
		State: n.core.State(), Epoch: n.core.Version().Epoch.Number, Live: n.core.Live(), Known: n.core.Known(),
		Self:    membership.Member{Identity: n.core.Self(), DataAddress: n.settings.Data.Backend, Zone: n.settings.Zone},
		Keyring: n.keyring.Load(), LeaseEnds: &n.leaseEnds, Signals: n.signals, Peers: n.peers,
	})
}

// ReloadKeys reads certificates, keyring and fleet key again. On an error what
// was loaded before stays in use.
func (n *Node) ReloadKeys() error {
	if err := n.credentials.Reload(); err != nil {
		return err
	}
	keyring, err := connectionid.LoadKeyring(n.settings.Keyring)
	if err != nil {
		return err
	}
	sealer, err := seal.Load(n.settings.FleetKey)
	if err != nil {
		return err
	}
	n.transport.SetSealer(sealer)
	n.keyring.Store(keyring)
	n.enqueue(func(time.Time) { n.publish(false) })
	return nil
}

// Alive serves /healthz: the control loop turns.
func (n *Node) Alive() string {
	if time.Since(time.Unix(0, n.lastTick.Load())) > stuckAfter {
		return "the control loop does not turn"
	}
	return ""
}

// Ready serves /readyz: the daemon has a configuration and is not leaving.
func (n *Node) Ready() string {
	if n.draining.Load() {
		return "draining"
	}
	if !n.caughtUp.Load() {
		return "the configuration is not caught up yet"
	}
	return n.Alive()
}

// Drain leaves the fleet in order: the fabric is told to send no more, the
// members that this daemon goes, and packets are forwarded until none came for
// a while or the bound is reached.
func (n *Node) Drain(ctx context.Context) {
	n.draining.Store(true)
	started := time.Now()
	n.enqueue(func(now time.Time) { n.carry(n.core.Leave(now)) })
	n.log.Info("draining")
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		quietSince := time.Unix(0, max(n.plane.counters.LastReceived.Load(), started.UnixNano()))
		isQuiet := time.Since(quietSince) >= n.settings.Drain.Quiet
		if isQuiet || time.Since(started) >= n.settings.Drain.Maximum {
			n.log.Info("drained", telemetry.FieldDetail, time.Since(started).String())
			return
		}
	}
}

// Kill ends the daemon at once, as a crash does.
func (n *Node) Kill() {
	n.cancel()
	if n.telemetry != nil {
		n.telemetry.Close()
	}
	if n.operator != nil {
		n.operator.Close()
	}
	n.closeData()
	if n.transport != nil {
		n.transport.Close()
	}
	n.waiting.Wait()
}

// Self returns the daemon's control identity.
func (n *Node) Self() identity.Identity { return n.core.Self() }

// errStopped answers calls to a node that has ended.
var errStopped = eris.New("the daemon has stopped")
