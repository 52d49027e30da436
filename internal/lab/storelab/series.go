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
	// fewestInSeries and mostInSeries bound the repetitions in a series (the upper one exclusively),
	// seriesGap the time between two of them.
	fewestInSeries = 3
	mostInSeries   = 8
	seriesGap      = 250 * time.Millisecond
	// A starting daemon is sent signals for startSignals, at intervals of startGap. They begin after
	// startMargin, since no process can handle a signal before its own code runs.
	startSignals = 300 * time.Millisecond
	startGap     = 3 * time.Millisecond
	startMargin  = 20 * time.Millisecond

	// mostAway bounds the outage of a store that is restored, oldestCopy the age of the backup at
	// the start of the outage.
	mostAway   = 2 * time.Second
	oldestCopy = 6 * time.Second
	// rewriteWithin bounds the delay until writers repeat the writes that a restore lost.
	rewriteWithin = time.Second
)

// series are actions that are repeated in quick succession, by name. Planned maintenance among them
// isn't recorded as a fault: it must not disturb callers even if it overlaps.
var series = map[string]func(s *site, random *rand.Rand){
	"restore-store":   (*site).restoreStore,
	"changes":         (*site).changeOften,
	"hangups":         (*site).hangUp,
	"hangup-at-start": (*site).hangUpAtStart,
	"terms":           (*site).terminateTwice,
	"stops":           (*site).stopSome,
	"freeze-in-stop":  (*site).freezeInStop,
	"kill-in-stop":    (*site).killInStop,
	"drains":          (*site).drainSome,
}

// Series draws a schedule of series from a seed.
func Series(seed uint64, count int, span time.Duration) []Fault {
	return draw(rand.New(rand.NewPCG(seed, 12)), series, count, span)
}

// repeat calls a function several times, with random pauses.
func repeat(random *rand.Rand, do func()) {
	for range fewestInSeries + random.IntN(mostInSeries-fewestInSeries) {
		do()
		time.Sleep(time.Duration(random.Int64N(int64(seriesGap))))
	}
}

func (s *site) one(random *rand.Rand) *daemon { return s.daemons[random.IntN(len(s.daemons))] }

// restoreStore makes the store unavailable and restores it from a backup. Entries that the restore
// lost are written again; entries that it resurrected expire.
func (s *site) restoreStore(random *rand.Rand) {
	s.restoring.Lock() // all lost entries are written again before the next restore
	defer s.restoring.Unlock()
	away := time.Duration(random.Int64N(int64(mostAway)))
	copiedAt := time.Now().Add(-time.Duration(random.Int64N(int64(oldestCopy))))
	s.disturbed(away+entryLifetime, "store is unavailable and restored from a backup")
	s.store.SetDown(true)
	time.Sleep(away)
	s.mutex.Lock()
	lost := s.store.Restore(copiedAt)
	s.mutex.Unlock()
	s.store.SetDown(false)
	var waiting sync.WaitGroup
	for _, entry := range lost {
		delay := time.Duration(random.Int64N(int64(rewriteWithin)))
		if entry.IsRemoval() {
			delay = entryLifetime
		}
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			time.Sleep(delay)
			s.writeAgain(entry)
		}()
	}
	waiting.Wait()
}

func (s *site) writeAgain(entry storeview.Entry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.store.WriteAgain(entry)
}

// changeOften removes and re-adds a route several times.
func (s *site) changeOften(random *rand.Rand) {
	repeat(random, func() {
		s.configure(s.leadsTo(routeExtra, ""))
		time.Sleep(time.Duration(random.Int64N(int64(seriesGap))))
		s.configure(s.leadsTo(routeExtra, serviceOther))
	})
}

// hangUp rewrites the settings of all daemons and sends them SIGHUP, several times.
func (s *site) hangUp(random *rand.Rand) {
	repeat(random, func() {
		for _, held := range s.daemons {
			held.rewriteSettings()
			s.signalled(held, syscall.SIGHUP)
		}
	})
}

// hangUpAtStart restarts a daemon and sends it SIGHUP repeatedly while it starts.
func (s *site) hangUpAtStart(random *rand.Rand) {
	held := s.one(random)
	<-held.tellToEnd(syscall.SIGTERM)
	s.startAgain(held)
	time.Sleep(startMargin)
	for began := time.Now(); time.Since(began) < startSignals; time.Sleep(startGap) {
		s.signalled(held, syscall.SIGHUP)
	}
}

func (s *site) signalled(held *daemon, signal syscall.Signal) {
	s.recorder.Note(Event{Kind: DaemonSignalled, Detail: held.name})
	held.signal(signal)
}

// terminateTwice sends SIGTERM to a daemon, then SIGHUP and another SIGTERM while it shuts down.
func (s *site) terminateTwice(random *rand.Rand) {
	held := s.one(random)
	ended := held.tellToEnd(syscall.SIGTERM)
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		time.Sleep(time.Duration(random.Int64N(int64(seriesGap))))
		held.signal(signal)
	}
	<-ended
	s.startAgain(held)
}

// stopSome restarts up to a third of the daemons gracefully at nearly the same time.
func (s *site) stopSome(random *rand.Rand) {
	var waiting sync.WaitGroup
	for _, stopped := range s.some(random, len(s.daemons)/3) {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			s.stop(stopped)
		}()
		time.Sleep(time.Duration(random.Int64N(int64(seriesGap))))
	}
	waiting.Wait()
}

func (s *site) freezeInStop(random *rand.Rand) {
	held := s.one(random)
	ended := held.tellToEnd(syscall.SIGTERM)
	time.Sleep(seriesGap)
	s.freeze(held)
	<-ended
	s.startAgain(held)
}

func (s *site) killInStop(random *rand.Rand) {
	held := s.one(random)
	held.signal(syscall.SIGTERM)
	time.Sleep(seriesGap)
	s.disturbed(restartAfter, "%s is killed while it shuts down", held.name)
	held.kill()
	time.Sleep(restartAfter)
	s.startAgain(held)
}

// drainSome adds and drains several targets at nearly the same time.
func (s *site) drainSome(random *rand.Rand) {
	repeat(random, func() {
		s.started(s.addTarget([]string{serviceFeeds, serviceForms, serviceOther}[random.IntN(3)]))
		s.withTarget(random, s.drain)
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
