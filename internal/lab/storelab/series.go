package storelab

import (
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/passtray/passtray/internal/storeview"
)

const (
	// minRepeats and maxRepeats bound the repetitions in a series (the upper one exclusively),
	// maxRepeatGap the time between two of them.
	minRepeats   = 3
	maxRepeats   = 8
	maxRepeatGap = 250 * time.Millisecond
	// A starting daemon is sent signals for startSignalDuration, at intervals of
	// startSignalInterval. They begin once it has run for startSignalDelay, since no process can handle a
	// signal before its own code runs; no other SIGHUP is sent sooner either.
	startSignalDuration = 300 * time.Millisecond
	startSignalInterval = 3 * time.Millisecond
	startSignalDelay    = 20 * time.Millisecond

	// maxOutage bounds the outage of a store that is restored, maxBackupAge the age of the backup at
	// the start of the outage.
	maxOutage    = 2 * time.Second
	maxBackupAge = 6 * time.Second
	// maxRewriteDelay bounds the delay until writers repeat the writes that a restore lost.
	maxRewriteDelay = time.Second
)

// seriesActions are actions that are repeated in quick succession, by name. Planned maintenance
// among them isn't recorded as a fault: it must not disturb callers even if it overlaps.
var seriesActions = map[string]func(s *site, random *rand.Rand){
	"restore-store":   (*site).restoreStore,
	"changes":         (*site).toggleRoute,
	"hangups":         (*site).reloadAll,
	"hangup-at-start": (*site).reloadDuringStart,
	"terms":           (*site).terminateTwice,
	"stops":           (*site).restartSome,
	"freeze-in-stop":  (*site).pauseDuringShutdown,
	"kill-in-stop":    (*site).killDuringShutdown,
	"drains":          (*site).drainTargets,
}

// Series draws a schedule of series from a seed.
func Series(seed uint64, count int, duration time.Duration) []Fault {
	return drawSchedule(rand.New(rand.NewPCG(seed, 12)), seriesActions, count, duration)
}

// repeat calls a function several times, with random pauses.
func repeat(random *rand.Rand, do func()) {
	for range minRepeats + random.IntN(maxRepeats-minRepeats) {
		do()
		time.Sleep(time.Duration(random.Int64N(int64(maxRepeatGap))))
	}
}

func (s *site) randomDaemon(random *rand.Rand) *daemon { return s.daemons[random.IntN(len(s.daemons))] }

// restoreStore makes the store unavailable and restores it from a backup. Entries that the restore
// lost are written again; entries that it resurrected expire.
func (s *site) restoreStore(random *rand.Rand) {
	s.restoreMutex.Lock() // all lost entries are written again before the next restore
	defer s.restoreMutex.Unlock()
	outage := time.Duration(random.Int64N(int64(maxOutage)))
	backupAt := time.Now().Add(-time.Duration(random.Int64N(int64(maxBackupAge))))
	s.noteFault(outage+entryLifetime, "store is unavailable and restored from a backup")
	s.store.SetDown(true)
	time.Sleep(outage)
	s.mutex.Lock()
	lost := s.store.Restore(backupAt)
	s.mutex.Unlock()
	s.store.SetDown(false)
	var wg sync.WaitGroup
	for _, entry := range lost {
		delay := time.Duration(random.Int64N(int64(maxRewriteDelay)))
		if entry.IsRemoval() {
			delay = entryLifetime
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(delay)
			s.rewrite(entry)
		}()
	}
	wg.Wait()
}

func (s *site) rewrite(entry storeview.Entry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.store.Rewrite(entry)
}

// toggleRoute removes and re-adds a route several times.
func (s *site) toggleRoute(random *rand.Rand) {
	repeat(random, func() {
		s.putConfiguration(s.routesWith(routeExtra, ""))
		time.Sleep(time.Duration(random.Int64N(int64(maxRepeatGap))))
		s.putConfiguration(s.routesWith(routeExtra, serviceOther))
	})
}

// reloadAll rewrites the settings of all daemons and sends them SIGHUP, several times.
func (s *site) reloadAll(random *rand.Rand) {
	repeat(random, func() {
		for _, d := range s.daemons {
			d.rewriteSettings()
			s.sendSignal(d, syscall.SIGHUP)
		}
	})
}

// reloadDuringStart restarts a daemon and sends it SIGHUP repeatedly while it starts.
func (s *site) reloadDuringStart(random *rand.Rand) {
	d := s.randomDaemon(random)
	<-d.terminate(syscall.SIGTERM)
	s.startDaemon(d)
	for start := time.Now(); time.Since(start) < startSignalDuration; time.Sleep(startSignalInterval) {
		s.sendSignal(d, syscall.SIGHUP)
	}
}

// sendSignal sends a signal that must not end the daemon. If its process has just started, it waits
// until that can handle signals.
func (s *site) sendSignal(d *daemon, signal syscall.Signal) {
	s.recorder.Record(Event{Kind: DaemonSignalled, Detail: d.name})
	for !d.signalStarted(signal) {
		time.Sleep(startSignalInterval)
	}
}

// terminateTwice sends SIGTERM to a daemon, then SIGHUP and another SIGTERM while it shuts down.
func (s *site) terminateTwice(random *rand.Rand) {
	d := s.randomDaemon(random)
	exited := d.terminate(syscall.SIGTERM)
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		time.Sleep(time.Duration(random.Int64N(int64(maxRepeatGap))))
		d.signal(signal)
	}
	<-exited
	s.startDaemon(d)
}

// restartSome restarts up to a third of the daemons gracefully at nearly the same time.
func (s *site) restartSome(random *rand.Rand) {
	var wg sync.WaitGroup
	for _, d := range s.randomDaemons(random, len(s.daemons)/3) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.restartGracefully(d)
		}()
		time.Sleep(time.Duration(random.Int64N(int64(maxRepeatGap))))
	}
	wg.Wait()
}

func (s *site) pauseDuringShutdown(random *rand.Rand) {
	d := s.randomDaemon(random)
	exited := d.terminate(syscall.SIGTERM)
	time.Sleep(maxRepeatGap)
	s.pause(d)
	<-exited
	s.startDaemon(d)
}

func (s *site) killDuringShutdown(random *rand.Rand) {
	d := s.randomDaemon(random)
	d.signal(syscall.SIGTERM)
	time.Sleep(maxRepeatGap)
	s.noteFault(restartDelay, "%s is killed while it shuts down", d.name)
	d.kill()
	time.Sleep(restartDelay)
	s.startDaemon(d)
}

// drainTargets adds and drains several targets at nearly the same time.
func (s *site) drainTargets(random *rand.Rand) {
	repeat(random, func() {
		s.noteStartError(s.addTarget([]string{serviceFeeds, serviceForms, serviceOther}[random.IntN(3)]))
		s.withRandomTarget(random, s.drain)
	})
}

// rewriteSettings replaces a daemon's settings file with an identical one.
func (d *daemon) rewriteSettings() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	content, err := os.ReadFile(d.settings)
	if err == nil {
		err = os.WriteFile(d.settings+".new", content, 0o600)
	}
	if err == nil {
		err = os.Rename(d.settings+".new", d.settings)
	}
	if err != nil {
		panic(err) // the directory belongs to this run
	}
}
