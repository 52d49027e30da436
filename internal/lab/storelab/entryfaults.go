package storelab

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/passtray/passtray/platform"
)

const (
	// foreignIdentifier is the first identifier of entries that name no target.
	foreignIdentifier = 0x7e00000000
	// maxForeignPause bounds the time between two writes of other writers.
	maxForeignPause = 100 * time.Millisecond
	// maxReplaced bounds how long an invalid value stands under the key of a target.
	maxReplaced = 2 * time.Second
	// maxUnlistedLife bounds how long a target runs that crashes before the store has its entry.
	maxUnlistedLife = time.Second
)

// entryActions are faults of other writers of entries, and of entries that come late, by name.
var entryActions = map[string]func(s *site, random *rand.Rand){
	"invalid-entries": (*site).writeInvalidEntries,
	"invalid-value":   (*site).replaceValue,
	"crash-unlisted":  (*site).crashBeforeFirstWrite,
}

// EntryFaults draws a schedule of faults of entries from a seed.
func EntryFaults(seed uint64, count int, duration time.Duration) []Fault {
	return drawSchedule(rand.New(rand.NewPCG(seed, 14)), entryActions, count, duration)
}

func (s *site) writeRaw(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.store.Put(platform.RawEntry(key, value))
}

// writeInvalidEntries writes entries that name no target, in random order, some under keys that end in
// the identifier of a running target. They stay in the store.
func (s *site) writeInvalidEntries(random *rand.Rand) {
	values := platform.InvalidTargetValues(s.addr(netTargets, s.host+1, 5000).String())
	names := slices.Sorted(maps.Keys(values))
	random.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	running := s.runningTargets()
	for index, name := range names {
		key := platform.TargetKey(foreignIdentifier + random.Uint64N(1<<24))
		if len(running) > 0 && index%4 == 0 {
			key = platform.ForeignTargetKey(running[random.IntN(len(running))].identifier)
		}
		s.writeRaw(key, values[name])
		time.Sleep(randomDuration(random, 0, maxForeignPause))
	}
}

// runningTargets returns the targets that are not leaving, by identifier.
func (s *site) runningTargets() []*target {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.SortedFunc(maps.Values(s.targets), func(a, b *target) int { return cmp.Compare(a.identifier, b.identifier) })
}

// replaceValue replaces the value of a target's entry by invalid ones, several times, until the target
// writes its own again. Its open flows must last.
func (s *site) replaceValue(random *rand.Rand) {
	s.withRandomTarget(random, func(chosen *target) {
		values := platform.InvalidTargetValues(chosen.address.String())
		names := slices.Sorted(maps.Keys(values))
		repeat(random, func() {
			s.writeRaw(platform.TargetKey(chosen.identifier), values[names[random.IntN(len(names))]])
			time.Sleep(randomDuration(random, 0, maxReplaced))
			s.mutex.Lock()
			s.putTarget(chosen, false)
			s.mutex.Unlock()
		})
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.targets[chosen.identifier] = chosen
	})
}

// crashBeforeFirstWrite crashes a target, and the next one at its address before the store has applied the
// only write of it. A third one starts there.
func (s *site) crashBeforeFirstWrite(random *rand.Rand) {
	s.withRandomTarget(random, func(crashed *target) {
		s.crash(crashed)
		time.Sleep(randomDuration(random, 0, maxDowntime))
		unlisted, err := s.startUnlisted(crashed.service, crashed.address)
		if err != nil {
			s.noteStartError(nil, err)
			return
		}
		s.mutex.Lock()
		entry := s.entryOf(unlisted, false)
		s.mutex.Unlock()
		time.AfterFunc(randomDuration(random, minWriteDelay, maxWriteDelay), func() {
			s.mutex.Lock()
			s.store.Put(entry)
			s.mutex.Unlock()
			time.AfterFunc(entryLifetime, func() { s.removeTarget(unlisted) })
		})
		time.Sleep(randomDuration(random, 0, maxUnlistedLife))
		unlisted.end()
		time.Sleep(randomDuration(random, 0, maxDowntime))
		s.noteStartError(s.addTargetAt(crashed.service, crashed.address))
	})
}
