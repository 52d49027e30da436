package storelab

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// restartDelay is the delay until a killed daemon is restarted.
	restartDelay = 500 * time.Millisecond
	// faultDuration is the duration of temporary faults.
	faultDuration = 3 * time.Second
	// pauseDuration is how long a process is paused.
	pauseDuration = 1500 * time.Millisecond
	// entryLifetime is the time until a crashed target's entry expires in the store.
	entryLifetime = 3 * time.Second
	// minFaultTime is the time of the earliest fault; callers open flows before.
	minFaultTime = 3 * time.Second
)

// Fault is one fault of a schedule.
type Fault struct {
	At     time.Duration
	Action string
	// Seed seeds the random choices of the fault, such as its victims.
	Seed uint64
}

func (f Fault) String() string {
	return fmt.Sprintf("%s at %.1f s (%x)", f.Action, f.At.Seconds(), f.Seed)
}

// actions are the faults by name.
var actions = map[string]func(s *site, random *rand.Rand){
	"kill":         func(s *site, random *rand.Rand) { s.killRandom(random, 1) },
	"herd":         func(s *site, random *rand.Rand) { s.killRandom(random, max(1, len(s.daemons)*2/3)) },
	"all":          func(s *site, random *rand.Rand) { s.killRandom(random, len(s.daemons)) },
	"stop":         func(s *site, random *rand.Rand) { s.restartGracefully(s.daemons[random.IntN(len(s.daemons))]) },
	"roll":         func(s *site, _ *rand.Rand) { s.rollingRestart() },
	"freeze":       func(s *site, random *rand.Rand) { s.pause(s.daemons[random.IntN(len(s.daemons))]) },
	"store-down":   (*site).stopStore,
	"store-silent": func(s *site, _ *rand.Rand) { s.setProxyMode(s.daemons, modeDrop) },
	"store-slow":   func(s *site, _ *rand.Rand) { s.setProxyMode(s.daemons, modeSlow) },
	"store-one-way": func(s *site, random *rand.Rand) {
		s.setProxyMode(s.randomDaemons(random, len(s.daemons)/3), modeOneWay)
	},
	"store-refuses": func(s *site, random *rand.Rand) {
		s.setProxyMode(s.randomDaemons(random, len(s.daemons)/3), modeRefuse)
	},
	"store-mute-open": (*site).muteOpenConnections,
	"move-route":      (*site).moveRoute,
	"drop-route":      (*site).dropRoute,
	"crash":           func(s *site, random *rand.Rand) { s.withRandomTarget(random, s.crash) },
	"drain":           func(s *site, random *rand.Rand) { s.withRandomTarget(random, s.drain) },
	"reuse":           (*site).reuseAddress,
	"add": func(s *site, random *rand.Rand) {
		s.noteStartError(s.addTarget([]string{serviceFeeds, serviceForms, serviceOther}[random.IntN(3)]))
	},
}

// Faults draws a schedule from a seed. With an even seed, it ends with all daemons killed.
func Faults(seed uint64, count int, duration time.Duration) []Fault {
	faults := drawSchedule(rand.New(rand.NewPCG(seed, 11)), actions, count, duration)
	if seed%2 == 0 {
		faults = append(faults, Fault{At: minFaultTime + duration, Action: "all"})
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// drawSchedule draws count actions and their times.
func drawSchedule(random *rand.Rand, choices map[string]func(s *site, random *rand.Rand), count int, duration time.Duration) []Fault {
	names := slices.Sorted(maps.Keys(choices))
	var drawn []Fault
	for range count {
		at := minFaultTime + time.Duration(random.Int64N(int64(duration)))
		drawn = append(drawn, Fault{At: at.Round(100 * time.Millisecond), Action: names[random.IntN(len(names))], Seed: random.Uint64()})
	}
	return drawn
}

func (s *site) noteFault(duration time.Duration, format string, args ...any) {
	s.recorder.Record(Event{Kind: FaultStarted, Duration: duration, Detail: fmt.Sprintf(format, args...)})
}

func (s *site) randomDaemons(random *rand.Rand, count int) []*daemon {
	chosen := slices.Clone(s.daemons)
	random.Shuffle(len(chosen), func(a, b int) { chosen[a], chosen[b] = chosen[b], chosen[a] })
	return chosen[:max(1, count)]
}

func (s *site) killRandom(random *rand.Rand, count int) {
	var wg sync.WaitGroup
	for _, d := range s.randomDaemons(random, count) {
		s.noteFault(restartDelay, "%s is killed", d.name)
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.kill()
			time.Sleep(restartDelay)
			s.startDaemon(d)
		}()
	}
	wg.Wait()
}

func (s *site) startDaemon(d *daemon) {
	if err := d.start(); err != nil {
		s.noteFault(0, "failed to start %s: %s", d.name, err)
	}
}

// restartGracefully isn't recorded as a fault, since no flow may be lost by it.
func (s *site) restartGracefully(d *daemon) {
	s.recorder.Record(Event{Kind: DaemonSignalled, Detail: d.name})
	<-d.terminate(syscall.SIGTERM)
	s.startDaemon(d)
}

// rollBatches is the approximate number of batches of a rolling restart.
const rollBatches = 6

// rollingRestart restarts all daemons gracefully, one batch after the other.
func (s *site) rollingRestart() {
	for batch := range slices.Chunk(s.daemons, max(1, len(s.daemons)/rollBatches)) {
		var wg sync.WaitGroup
		for _, d := range batch {
			wg.Add(1)
			go func() {
				defer wg.Done()
				s.restartGracefully(d)
			}()
		}
		wg.Wait()
	}
}

func (s *site) pause(d *daemon) {
	s.noteFault(pauseDuration, "%s is paused", d.name)
	d.signal(syscall.SIGSTOP)
	time.Sleep(pauseDuration)
	d.signal(syscall.SIGCONT)
}

func (s *site) stopStore(*rand.Rand) {
	s.noteFault(faultDuration, "store is unavailable")
	s.store.SetDown(true)
	time.Sleep(faultDuration)
	s.store.SetDown(false)
}

func (s *site) setProxyMode(affected []*daemon, mode proxyMode) {
	s.noteFault(faultDuration, "proxies of %d daemons to the store are in mode %d", len(affected), mode)
	for _, d := range affected {
		d.storeProxy.setMode(mode)
	}
	time.Sleep(faultDuration)
	for _, d := range affected {
		d.storeProxy.setMode(modeForward)
	}
}

// muteOpenConnections makes all open connections to the store unresponsive until they are closed.
func (s *site) muteOpenConnections(*rand.Rand) {
	s.noteFault(0, "open connections to the store are unresponsive")
	for _, d := range s.daemons {
		d.storeProxy.muteOpenConnections()
	}
}

// moveRoute switches a route to another service, or back.
func (s *site) moveRoute(random *rand.Rand) {
	route, service := routeFeeds, serviceFeeds
	if random.IntN(2) == 0 {
		route, service = routeForms, serviceForms
	}
	s.mutex.Lock()
	current := s.routes[route]
	s.mutex.Unlock()
	if current == service {
		service = serviceOther
	}
	s.putConfiguration(s.routesWith(route, service))
}

// dropRoute removes a route temporarily.
func (s *site) dropRoute(*rand.Rand) {
	s.putConfiguration(s.routesWith(routeExtra, ""))
	time.Sleep(faultDuration)
	s.putConfiguration(s.routesWith(routeExtra, serviceOther))
}

// withRandomTarget calls a function with a random target of a service with at least three, if any.
func (s *site) withRandomTarget(random *rand.Rand, do func(*target)) {
	if chosen := s.takeRandomTarget(random); chosen != nil {
		do(chosen)
	}
}

func (s *site) takeRandomTarget(random *rand.Rand) *target {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := map[string]int{}
	var all []*target
	for _, candidate := range s.targets {
		counts[candidate.service]++
		all = append(all, candidate)
	}
	all = slices.DeleteFunc(all, func(candidate *target) bool { return counts[candidate.service] < 3 })
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b *target) int { return cmp.Compare(a.identifier, b.identifier) })
	chosen := all[random.IntN(len(all))]
	delete(s.targets, chosen.identifier)
	return chosen
}

// reuseAddress crashes a target and starts a target of another service at the same address.
func (s *site) reuseAddress(random *rand.Rand) {
	s.withRandomTarget(random, func(crashed *target) {
		s.crash(crashed)
		other := map[string]string{serviceFeeds: serviceForms, serviceForms: serviceOther, serviceOther: serviceFeeds}[crashed.service]
		time.Sleep(faultDuration)
		s.noteStartError(s.addTargetAt(other, crashed.address))
	})
}

func (s *site) noteStartError(_ *target, err error) {
	if err != nil {
		s.noteFault(0, "failed to start a target: %s", err)
	}
}
