package lab

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	passtrayv1 "github.com/passtray/passtray/api/passtray/v1"
	"github.com/passtray/passtray/internal/forwarding"
	"github.com/passtray/passtray/internal/lab/environment"
	"github.com/passtray/passtray/internal/lab/history"
	"github.com/passtray/passtray/internal/lab/workload"
	"github.com/passtray/passtray/internal/node"
	"github.com/passtray/passtray/internal/pki"
	"github.com/passtray/passtray/internal/platform"
	"github.com/passtray/passtray/internal/settings"
)

const (
	platformInterval = 500 * time.Millisecond
	healthInterval   = 300 * time.Millisecond
	healthFailures   = 2
	operatorTimeout  = 20 * time.Second
	labWorkers       = 1
	watchRetry       = 50 * time.Millisecond
)

// daemonSlot is one machine and the daemon on it.
type daemonSlot struct {
	name string
	zone string
	// running is nil while no daemon runs.
	running Daemon
	stop    func()
}

// cluster is everything that runs.
type cluster struct {
	scenario      *Scenario
	plan          addressPlan
	startDaemonAt StartDaemon
	history       *history.Log
	directory     string
	certificate   tls.Certificate
	credentials   *pki.Store

	fabric   *environment.Fabric
	platform *environment.Platform

	mutex   sync.Mutex
	daemons []*daemonSlot
	targets []*workload.Target
	zones   map[netip.Addr]string
	cut     map[int]bool
	request int
	// ended sums up the targets that run no more.
	ended endedTargets
}

type endedTargets struct{ attempts uint64 }

func newCluster(scenario *Scenario, start StartDaemon, events *history.Log) (*cluster, error) {
	built := &cluster{
		scenario: scenario, plan: newAddressPlan(), startDaemonAt: start, history: events,
		zones: map[netip.Addr]string{}, cut: map[int]bool{},
	}
	var err error
	if built.directory, err = os.MkdirTemp("", "passtray-lab-"); err != nil {
		return nil, eris.Wrap(err, "keys")
	}
	if err := built.start(); err != nil {
		built.close()
		return nil, err
	}
	return built, nil
}

func (c *cluster) start() error {
	keys := filepath.Join(c.directory, "keys")
	if err := pki.Initialize(keys, c.plan.daemonIPs(), time.Now()); err != nil {
		return err
	}
	var err error
	c.credentials, err = pki.Load(pki.Files{
		Authority:   filepath.Join(keys, pki.AuthorityFile),
		Certificate: filepath.Join(keys, "operator.pem"), Key: filepath.Join(keys, "operator-key.pem"),
	})
	if err != nil {
		return err
	}
	if c.certificate, err = workload.NewCertificate(); err != nil {
		return err
	}
	if c.platform, err = environment.StartPlatform(c.plan.at(hostFabric, portPlatform), c.scenario.PlatformLag); err != nil {
		return err
	}
	if err := c.startFabric(); err != nil {
		return err
	}
	for index := range len(c.scenario.Zones) * c.scenario.DaemonsPerZone {
		c.addMachine(index)
	}
	c.tellPlatform()
	for index := range c.daemons {
		if err := c.startDaemon(index); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) startFabric() error {
	config := environment.FabricConfig{
		Egress: c.plan.at(hostFabric, portEgress), Delay: c.scenario.ClientDelay,
		HealthInterval: healthInterval, HealthFailures: healthFailures,
	}
	for index := range c.scenario.Services {
		config.Services = append(config.Services, c.serviceAddress(index))
	}
	var err error
	c.fabric, err = environment.StartFabric(config)
	return err
}

func (c *cluster) serviceAddress(index int) netip.AddrPort {
	return c.plan.at(hostFabric, uint16(portService+index))
}

// addMachine makes a machine; the zone goes round.
func (c *cluster) addMachine(index int) {
	slot := &daemonSlot{name: fmt.Sprintf("daemon-%d", index), zone: c.scenario.Zones[index%len(c.scenario.Zones)]}
	c.mutex.Lock()
	c.daemons = append(c.daemons, slot)
	c.zones[c.plan.daemon(index, 0).Addr()] = slot.zone
	c.mutex.Unlock()
}

// tellPlatform gives the platform and the fabric the machines that run.
func (c *cluster) tellPlatform() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var machines []platform.Machine
	var backends []environment.Backend
	for index := range c.daemons {
		machines = append(machines, platform.Machine{Control: c.plan.daemon(index, portControl)})
		backends = append(backends, environment.Backend{
			Fabric: c.plan.daemon(index, portFabric), Health: c.plan.daemon(index, portTelemetry),
		})
	}
	c.platform.SetMachines(machines)
	c.fabric.SetBackends(backends)
}

func (c *cluster) startDaemon(index int) error {
	slot := c.daemons[index]
	given := settings.Default()
	given.Region = c.scenario.Region
	given.Zone = slot.zone
	given.Control = c.plan.daemon(index, portControl)
	given.Operator = c.plan.daemon(index, portOperator)
	given.Telemetry = c.plan.daemon(index, portTelemetry)
	given.Data.Backend = c.plan.daemon(index, portBackend)
	given.Data.Fabric = c.plan.daemon(index, portFabric)
	given.Data.FabricEgress = c.plan.at(hostFabric, portEgress)
	given.Data.Workers = labWorkers
	for known := range len(c.scenario.Zones) * c.scenario.DaemonsPerZone {
		// As a settings file does, for when the platform cannot be read.
		given.Peers = append(given.Peers, c.plan.daemon(known, portControl))
	}
	given.Platform.URL = "http://" + c.plan.at(hostFabric, portPlatform).String()
	given.Platform.Interval = platformInterval
	keys := filepath.Join(c.directory, "keys")
	given.TLS = settings.TLS{
		Authority:   filepath.Join(keys, pki.AuthorityFile),
		Certificate: filepath.Join(keys, "daemon.pem"), Key: filepath.Join(keys, "daemon-key.pem"),
	}
	given.Keyring = filepath.Join(keys, pki.KeyringFile)
	given.FleetKey = filepath.Join(keys, pki.FleetKeyFile)
	running, err := c.startDaemonAt(slot.name, given, node.Options{
		Mode: c.scenario.Mode,
		WrapSocket: func(socket forwarding.Socket) forwarding.Socket {
			return environment.DelaySocket(socket, c.distance)
		},
		Reachable: func(peer netip.AddrPort) bool { return c.isReachable(index, peer) },
	})
	if err != nil {
		return err
	}
	c.history.Add(history.Event{Kind: history.DaemonStarted, Daemon: slot.name})
	ctx, cancel := context.WithCancel(context.Background())
	go c.watchRevision(ctx, slot.name, given.Operator)
	c.mutex.Lock()
	slot.running = running
	slot.stop = cancel
	c.mutex.Unlock()
	return nil
}

// watchRevision records each revision that comes into force on a daemon, as an
// operator's watch sees it.
func (c *cluster) watchRevision(ctx context.Context, name string, operator netip.AddrPort) {
	for ctx.Err() == nil {
		_, _ = c.callOne(ctx, operator, nil, func(ctx context.Context, client passtrayv1.OperatorClient, _ *passtrayv1.ChangeOptions) (*passtrayv1.ChangeResponse, error) {
			stream, err := client.Watch(ctx, &passtrayv1.WatchRequest{})
			for err == nil {
				var configuration *passtrayv1.Configuration
				if configuration, err = stream.Recv(); err == nil && configuration.GetRevision() > 0 {
					c.history.Add(history.Event{Kind: history.ConfigurationApplied, Daemon: name, Revision: configuration.GetRevision()})
				}
			}
			return nil, err
		})
		time.Sleep(watchRetry)
	}
}

// distance is the delay between two zones, doubled because replies of targets
// are not delayed; the round trip is right.
func (c *cluster) distance(from, to netip.AddrPort) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	fromZone, toZone := c.zones[from.Addr()], c.zones[to.Addr()]
	if fromZone == "" || toZone == "" || fromZone == toZone {
		return 0
	}
	if to.Addr().As4()[3] >= hostTargetFirst {
		return 2 * c.scenario.ZoneDelay
	}
	return c.scenario.ZoneDelay
}

func (c *cluster) isReachable(from int, peer netip.AddrPort) bool {
	to := int(peer.Addr().As4()[3]) - hostDaemonFirst
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.cut[from] && !c.cut[to]
}

func (c *cluster) liveDaemons() []*daemonSlot {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var live []*daemonSlot
	for _, slot := range c.daemons {
		if slot.running != nil {
			live = append(live, slot)
		}
	}
	return live
}

// takeDaemon removes a daemon from the running ones, nil if it is not running.
func (c *cluster) takeDaemon(index int) Daemon {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	slot := c.daemons[index]
	running := slot.running
	slot.running = nil
	if running != nil {
		slot.stop()
	}
	return running
}

// declare creates the services and adds the targets, starting each.
func (c *cluster) declare() error {
	for index := range c.scenario.Services {
		service := &c.scenario.Services[index]
		priority := passtrayv1.Priority(passtrayv1.Priority_value["PRIORITY_"+upper(service.Priority)])
		err := c.operate(func(ctx context.Context, client passtrayv1.OperatorClient, options *passtrayv1.ChangeOptions) (*passtrayv1.ChangeResponse, error) {
			return client.CreateService(ctx, &passtrayv1.CreateServiceRequest{Options: options, Service: &passtrayv1.Service{
				Name: service.Name, Address: c.serviceAddress(index).String(),
				Protocol: passtrayv1.Protocol_PROTOCOL_QUIC, Priority: priority,
				Limits: &passtrayv1.Limits{NewFlowsPerSecond: service.NewFlowsLimit},
			}})
		})
		if err != nil {
			return err
		}
		for number := range service.Targets {
			if err := c.addTarget(index, number+1, false); err != nil {
				return err
			}
		}
	}
	return c.waitInForce()
}

// addTarget starts a target and tells the operators' interface of it.
func (c *cluster) addTarget(serviceIndex, number int, cold bool) error {
	service := &c.scenario.Services[serviceIndex]
	zone := number % len(c.scenario.Zones)
	address := c.plan.at(byte(hostTargetFirst+zone), uint16(portTargetBase+serviceIndex*100+number))
	config := workload.TargetConfig{
		Service: service.Name, Name: fmt.Sprintf("%s-%d", service.Name, number), Address: address,
		ServiceAddr: c.serviceAddress(serviceIndex), KeyringPath: filepath.Join(c.directory, "keys", pki.KeyringFile),
		Certificate: c.certificate, Slots: service.Slots, MaximumConnections: 2000, Work: service.Work,
		ColdFactor: service.ColdFactor, ShedAbove: service.ShedAbove, History: c.history,
		LoadLies: number <= service.Liars, LoadLag: service.LoadLag,
	}
	if cold {
		config.ColdFor = service.ColdFor
	}
	target, err := workload.StartTarget(config)
	if err != nil {
		return err
	}
	c.mutex.Lock()
	c.targets = append(c.targets, target)
	c.zones[address.Addr()] = c.scenario.Zones[zone]
	c.mutex.Unlock()
	return c.operate(func(ctx context.Context, client passtrayv1.OperatorClient, options *passtrayv1.ChangeOptions) (*passtrayv1.ChangeResponse, error) {
		return client.AddTarget(ctx, &passtrayv1.AddTargetRequest{Options: options, Target: &passtrayv1.Target{
			Service: service.Name, Name: config.Name, Address: address.String(), Zone: c.scenario.Zones[zone], Weight: 100,
		}})
	})
}

func (c *cluster) runningTargets() []*workload.Target {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]*workload.Target(nil), c.targets...)
}

// takeTarget removes a target from the running ones, nil if there is none.
func (c *cluster) takeTarget(fullName string) *workload.Target {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for index, target := range c.targets {
		if target.FullName() == fullName {
			c.targets = append(c.targets[:index:index], c.targets[index+1:]...)
			c.ended.attempts += target.Attempts()
			return target
		}
	}
	return nil
}

func (c *cluster) close() {
	for index := range c.daemons {
		if running := c.takeDaemon(index); running != nil {
			running.Kill()
		}
	}
	for _, target := range c.runningTargets() {
		target.Close()
	}
	if c.fabric != nil {
		c.fabric.Close()
	}
	if c.platform != nil {
		c.platform.Close()
	}
	if c.directory != "" {
		_ = os.RemoveAll(c.directory)
	}
}
