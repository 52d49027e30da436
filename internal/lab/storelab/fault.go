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
	// restartAfter is the delay until a killed daemon is restarted.
	restartAfter = 500 * time.Millisecond
	// faultSpan is the duration of temporary faults.
	faultSpan = 3 * time.Second
	// freezeSpan is how long a process is paused.
	freezeSpan = 1500 * time.Millisecond
	// entryLifetime is the time until a crashed target's entry expires in the store.
	entryLifetime = 3 * time.Second
	// firstFault is the time of the earliest fault; callers open flows before.
	firstFault = 3 * time.Second
)

// Fault is one fault of a schedule.
type Fault struct {
	At time.Duration
	Do string
	// Draw seeds the random choices of the fault, such as its victims.
	Draw uint64
}

func (f Fault) String() string {
	return fmt.Sprintf("%s at %.1f s (%x)", f.Do, f.At.Seconds(), f.Draw)
}

// actions are the faults by name.
var actions = map[string]func(s *site, random *rand.Rand){
	"kill":            func(s *site, random *rand.Rand) { s.killSome(random, 1) },
	"herd":            func(s *site, random *rand.Rand) { s.killSome(random, max(1, len(s.daemons)*2/3)) },
	"all":             func(s *site, random *rand.Rand) { s.killSome(random, len(s.daemons)) },
	"stop":            func(s *site, random *rand.Rand) { s.stop(s.daemons[random.IntN(len(s.daemons))]) },
	"roll":            func(s *site, _ *rand.Rand) { s.roll() },
	"freeze":          func(s *site, random *rand.Rand) { s.freeze(s.daemons[random.IntN(len(s.daemons))]) },
	"store-down":      (*site).storeDown,
	"store-silent":    func(s *site, _ *rand.Rand) { s.disturbPaths(s.daemons, pathSilent) },
	"store-slow":      func(s *site, _ *rand.Rand) { s.disturbPaths(s.daemons, pathSlow) },
	"store-one-way":   func(s *site, random *rand.Rand) { s.disturbPaths(s.some(random, len(s.daemons)/3), pathOneWay) },
	"store-refuses":   func(s *site, random *rand.Rand) { s.disturbPaths(s.some(random, len(s.daemons)/3), pathRefusing) },
	"store-mute-open": (*site).muteOpen,
	"move-route":      (*site).moveRoute,
	"drop-route":      (*site).dropRoute,
	"crash":           func(s *site, random *rand.Rand) { s.withTarget(random, s.crash) },
	"drain":           func(s *site, random *rand.Rand) { s.withTarget(random, s.drain) },
	"reuse":           (*site).reuse,
	"add": func(s *site, random *rand.Rand) {
		s.started(s.addTarget([]string{serviceFeeds, serviceForms, serviceOther}[random.IntN(3)]))
	},
}

// Faults draws a schedule from a seed. With an even seed, it ends with all daemons killed.
func Faults(seed uint64, count int, span time.Duration) []Fault {
	faults := draw(rand.New(rand.NewPCG(seed, 11)), actions, count, span)
	if seed%2 == 0 {
		faults = append(faults, Fault{At: firstFault + span, Do: "all"})
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// draw draws count actions and their times.
func draw(random *rand.Rand, among map[string]func(s *site, random *rand.Rand), count int, span time.Duration) []Fault {
	names := slices.Sorted(maps.Keys(among))
	var drawn []Fault
	for range count {
		at := firstFault + time.Duration(random.Int64N(int64(span)))
		drawn = append(drawn, Fault{At: at.Round(100 * time.Millisecond), Do: names[random.IntN(len(names))], Draw: random.Uint64()})
	}
	return drawn
}

func (s *site) disturbed(span time.Duration, format string, values ...any) {
	s.recorder.Note(Event{Kind: Disturbed, Span: span, Detail: fmt.Sprintf(format, values...)})
}

func (s *site) some(random *rand.Rand, count int) []*daemon {
	chosen := slices.Clone(s.daemons)
	random.Shuffle(len(chosen), func(a, b int) { chosen[a], chosen[b] = chosen[b], chosen[a] })
	return chosen[:max(1, count)]
}

func (s *site) killSome(random *rand.Rand, count int) {
	var waiting sync.WaitGroup
	for _, killed := range s.some(random, count) {
		s.disturbed(restartAfter, "%s is killed", killed.name)
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			killed.kill()
			time.Sleep(restartAfter)
			s.startAgain(killed)
		}()
	}
	waiting.Wait()
}

func (s *site) startAgain(ended *daemon) {
	if err := ended.start(); err != nil {
		s.disturbed(0, "start of %s failed: %s", ended.name, err)
	}
}

// stop restarts a daemon gracefully. It isn't recorded as a fault, since no flow may be lost by it.
func (s *site) stop(stopped *daemon) {
	s.recorder.Note(Event{Kind: DaemonSignalled, Detail: stopped.name})
	<-stopped.tellToEnd(syscall.SIGTERM)
	s.startAgain(stopped)
}

// rollShare is the approximate number of batches of a rolling restart.
const rollShare = 6

// roll restarts all daemons gracefully, one batch after the other.
func (s *site) roll() {
	for some := range slices.Chunk(s.daemons, max(1, len(s.daemons)/rollShare)) {
		var waiting sync.WaitGroup
		for _, stopped := range some {
			waiting.Add(1)
			go func() {
				defer waiting.Done()
				s.stop(stopped)
			}()
		}
		waiting.Wait()
	}
}

func (s *site) freeze(frozen *daemon) {
	s.disturbed(freezeSpan, "%s is paused", frozen.name)
	frozen.signal(syscall.SIGSTOP)
	time.Sleep(freezeSpan)
	frozen.signal(syscall.SIGCONT)
}

func (s *site) storeDown(*rand.Rand) {
	s.disturbed(faultSpan, "store is unavailable")
	s.store.SetDown(true)
	time.Sleep(faultSpan)
	s.store.SetDown(false)
}

func (s *site) disturbPaths(befallen []*daemon, state pathState) {
	s.disturbed(faultSpan, "proxies of %d daemons to the store are in mode %d", len(befallen), state)
	for _, held := range befallen {
		held.path.set(state)
	}
	time.Sleep(faultSpan)
	for _, held := range befallen {
		held.path.set(pathWell)
	}
}

// muteOpen makes all open connections to the store unresponsive for the rest of their lifetime.
func (s *site) muteOpen(*rand.Rand) {
	s.disturbed(0, "open connections to the store are unresponsive")
	for _, held := range s.daemons {
		held.path.muteOpen()
	}
}

// moveRoute switches a route to another service, or back.
func (s *site) moveRoute(random *rand.Rand) {
	route, home := routeFeeds, serviceFeeds
	if random.IntN(2) == 0 {
		route, home = routeForms, serviceForms
	}
	s.mutex.Lock()
	held := s.routes[route]
	s.mutex.Unlock()
	if held == home {
		home = serviceOther
	}
	s.configure(s.leadsTo(route, home))
}

// dropRoute removes a route temporarily.
func (s *site) dropRoute(*rand.Rand) {
	s.configure(s.leadsTo(routeExtra, ""))
	time.Sleep(faultSpan)
	s.configure(s.leadsTo(routeExtra, serviceOther))
}

// withTarget calls a function with a random target of a service with at least three, if any.
func (s *site) withTarget(random *rand.Rand, do func(*target)) {
	if chosen := s.chooseTarget(random); chosen != nil {
		do(chosen)
	}
}

func (s *site) chooseTarget(random *rand.Rand) *target {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := map[string]int{}
	var all []*target
	for _, held := range s.targets {
		counts[held.service]++
		all = append(all, held)
	}
	all = slices.DeleteFunc(all, func(held *target) bool { return counts[held.service] < 3 })
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b *target) int { return cmp.Compare(a.identifier, b.identifier) })
	chosen := all[random.IntN(len(all))]
	delete(s.targets, chosen.identifier)
	return chosen
}

// reuse crashes a target and starts a target of another service at the same address.
func (s *site) reuse(random *rand.Rand) {
	s.withTarget(random, func(crashed *target) {
		s.crash(crashed)
		other := map[string]string{serviceFeeds: serviceForms, serviceForms: serviceOther, serviceOther: serviceFeeds}[crashed.service]
		time.Sleep(faultSpan)
		s.started(s.addTargetAt(other, crashed.address))
	})
}

func (s *site) started(_ *target, err error) {
	if err != nil {
		s.disturbed(0, "start of a target failed: %s", err)
	}
}
