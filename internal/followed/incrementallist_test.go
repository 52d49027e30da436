package followed

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/passtray/passtray/internal/storeview"
)

// changingStore is a store whose content changes while it is listed.
type changingStore struct {
	epoch     uint64
	revision  uint64
	compacted uint64
	content   map[string]storeview.Entry
	// events are all changes, in order of their revisions.
	events []storeview.Entry
	// removed are the keys that were removed at any time.
	removed map[string]bool
	// incarnations are those of the targets by number; draining are the targets that have drained
	// in theirs.
	incarnations map[int]uint64
	draining     map[int]bool
	// calls are the calls without an answer.
	calls []*Call
}

const (
	changingTargets  = 100
	changingPageSize = 7
)

// newChangingStore returns a store with a configuration and targets, of which one in five is of
// the ledger service.
func newChangingStore() *changingStore {
	store := &changingStore{
		content: map[string]storeview.Entry{}, removed: map[string]bool{}, revision: 100, compacted: 100,
		incarnations: map[int]uint64{}, draining: map[int]bool{},
	}
	store.configure(1)
	for number := range changingTargets {
		store.put(number, false)
	}
	return store
}

func (s *changingStore) write(entry storeview.Entry) {
	s.revision++
	entry.Revision = s.revision
	s.events = append(s.events, entry)
	if entry.Target == nil && entry.Configuration == nil && entry.Order == nil {
		delete(s.content, entry.Key)
		s.removed[entry.Key] = true
		return
	}
	s.content[entry.Key] = entry
}

func (s *changingStore) configure(version uint64) {
	routes := []storeview.Route{
		{Backends: []storeview.Backend{{Service: "roster", Weight: 1}}},
		{Backends: []storeview.Backend{{Service: "ledger", Weight: 1}}},
	}
	s.write(storeview.Entry{Key: "config", Configuration: &storeview.Configuration{Version: version, Routes: routes}})
}

func changingKey(number int) string { return fmt.Sprintf("target-%03d", number) }

// put writes a target. One that has drained is open again only in a later incarnation.
func (s *changingStore) put(number int, isDraining bool) {
	if s.draining[number] && !isDraining || s.incarnations[number] == 0 {
		s.incarnations[number]++
	}
	s.draining[number] = isDraining
	service := "roster"
	if number%5 == 0 {
		service = "ledger"
	}
	s.write(storeview.Entry{Key: changingKey(number), Target: &storeview.Target{Identifier: uint64(number + 1), Service: service, Draining: isDraining, Incarnation: s.incarnations[number]}})
}

func (s *changingStore) remove(number int) { s.write(storeview.Entry{Key: changingKey(number)}) }

// evacuate orders the evacuation of a zone.
func (s *changingStore) evacuate(zone string) {
	s.write(storeview.Entry{Key: "config-order", Order: &storeview.Order{Kind: storeview.OrderEvacuate, Zone: zone}})
}

// answer returns the store's answer to a call.
func (s *changingStore) answer(call *Call) *Answer {
	answer := &Answer{Number: call.Number, Outcome: OutcomeAnswered, Revision: s.revision, Epoch: s.epoch, TimeToFirstByte: 4 * time.Millisecond}
	if call.Kind == CallWatch {
		after := storeview.ChangeNumberOf(call.AfterRevision)
		if after < s.compacted {
			answer.Outcome = OutcomeHistoryGone
			return answer
		}
		for _, event := range s.events {
			if event.Revision > after {
				answer.Entries = append(answer.Entries, event)
			}
		}
		return answer
	}
	for _, entry := range s.content {
		isTarget := entry.Target != nil
		if entry.Key > call.AfterKey && !(call.TargetsOnly && !isTarget) && !(call.WithoutTargets && isTarget) {
			answer.Entries = append(answer.Entries, entry)
		}
	}
	slices.SortFunc(answer.Entries, func(a, b storeview.Entry) int { return cmp.Compare(a.Key, b.Key) })
	if answer.More = len(answer.Entries) > changingPageSize; answer.More {
		answer.Entries = answer.Entries[:changingPageSize]
	}
	return answer
}

// incrementalRun is a follower without peers that lists a changingStore incrementally.
type incrementalRun struct {
	*Follower
	store  *changingStore
	now    time.Time
	events []Event
	// falselyRemoved are targets taken for removed although they never were.
	falselyRemoved []string
}

func newIncrementalRun(seed uint64) *incrementalRun {
	config := DefaultConfig()
	config.Keys = splitterFunc(splitTargets)
	run := &incrementalRun{
		Follower: NewFollower(config, rand.New(rand.NewPCG(seed, 0))),
		store:    newChangingStore(), now: testStart,
	}
	run.avoidsCongestion, run.isContentLarge, run.memberCount = true, true, 1
	return run
}

// apply records an output.
func (r *incrementalRun) apply(output Output) {
	r.events = append(r.events, output.Events...)
	for _, target := range output.Change.ChangedTargets {
		if target.IsRemoved && !r.store.removed[target.Key] {
			r.falselyRemoved = append(r.falselyRemoved, target.Key)
		}
	}
	if output.Call != nil {
		r.store.calls = append(r.store.calls, output.Call)
	}
	r.store.calls = slices.DeleteFunc(r.store.calls, func(call *Call) bool { return !r.IsPending(call.Number) })
}

func (r *incrementalRun) tick(after time.Duration) {
	r.now = r.now.Add(after)
	r.apply(r.Tick(r.now))
}

// respond answers the call with an index.
func (r *incrementalRun) respond(index int, answer func(call *Call) *Answer) {
	call := r.store.calls[index]
	r.store.calls = slices.Delete(r.store.calls, index, index+1)
	r.apply(r.Step(r.now, answer(call)))
}

// respondAll answers the calls in flight, the oldest first.
func (r *incrementalRun) respondAll() {
	isAnswered := func(call *Call) bool {
		isWaiting := call.Kind == CallWatch && call.Wait > 0 && storeview.ChangeNumberOf(call.AfterRevision) == r.store.revision
		return !isWaiting
	}
	for {
		index := slices.IndexFunc(r.store.calls, isAnswered)
		if index < 0 {
			return
		}
		r.respond(index, r.store.answer)
	}
}

// run lets the store answer until the condition holds.
func (r *incrementalRun) runUntil(t assert.TestingT, condition func() bool) {
	for range 4000 {
		if condition() {
			return
		}
		r.tick(20 * time.Millisecond)
		r.respondAll()
	}
	assert.Assert(t, condition(), "not reached; calls %+v", r.store.calls)
}

// startPart takes a run to a part of the content.
func (r *incrementalRun) startPart(t assert.TestingT) {
	r.runUntil(t, func() bool { return r.View().PresentTargetCount() > 0 })
	assert.Assert(t, !r.isComplete())
}

// assertEqualsStore checks that the view is the store's content.
func (r *incrementalRun) assertEqualsStore(t assert.TestingT) {
	assert.Equal(t, r.View().Configuration().Version, r.store.content["config"].Configuration.Version)
	present := 0
	for number := range changingTargets + 20 {
		key := changingKey(number)
		target, listed := r.View().Target(key), r.store.content[key]
		isPresent := target != nil && !target.IsRemoved
		assert.Equal(t, isPresent, listed.Target != nil, key)
		if isPresent {
			present++
			assert.Equal(t, target.Draining, listed.Target.Draining, key)
		}
	}
	assert.Equal(t, r.View().PresentTargetCount(), present)
}

func TestIncrementalListBeginsWithConfiguration(t *testing.T) {
	run := newIncrementalRun(1)
	run.tick(0)
	first := run.store.calls[0]
	assert.Assert(t, first.WithoutTargets && !first.AllowStale, "its revision is where the watch begins: %+v", first)
	run.respond(0, run.store.answer)
	assert.Equal(t, run.View().Configuration().Version, uint64(1))
	run.tick(time.Millisecond)
	page := run.store.calls[slices.IndexFunc(run.store.calls, func(call *Call) bool { return call.Kind == CallList })]
	assert.Assert(t, page.TargetsOnly)
	assert.Equal(t, page.AfterKey, run.incremental.startKey)
}

// If many daemons start at once, none may ever get the answer that says how large the content is.
func TestIncrementalListBeginsWithoutAnyAnswer(t *testing.T) {
	run := newIncrementalRun(1)
	run.isContentLarge, run.incrementalFrom = false, testStart.Add(time.Second)
	run.tick(0)
	assert.Assert(t, !run.store.calls[0].WithoutTargets)
	run.tick(990 * time.Millisecond)
	assert.Assert(t, run.incremental == nil)
	run.tick(20 * time.Millisecond)
	assert.Equal(t, len(run.store.calls), 1, "the other calls are abandoned")
	assert.Assert(t, run.store.calls[0].WithoutTargets)
}

// Each daemon begins at a key of its own: flows of all daemons would otherwise go to the targets of
// one page.
func TestIncrementalListsBeginAtDifferentTargets(t *testing.T) {
	known := map[string]bool{}
	for seed := range uint64(60) {
		run := newIncrementalRun(seed)
		run.startPart(t)
		for _, target := range run.View().Targets() {
			known[target.Key] = true
		}
	}
	assert.Assert(t, len(known) > 9*changingTargets/10, "%d of %d targets", len(known), changingTargets)
}

func TestPartIsUsable(t *testing.T) {
	usable := func(run *incrementalRun) bool { return run.incremental != nil && run.incremental.isUsable }
	t.Run("once each routed service has enough targets", func(t *testing.T) {
		run := newIncrementalRun(1)
		run.store.configure(2)
		run.store.content["config"].Configuration.Routes[1].Backends[0].Weight = 0
		run.runUntil(t, func() bool { return usable(run) })
		open := run.View().OpenTargetsByService()["roster"]
		assert.Assert(t, open >= minUsableTargets && open < minUsableTargets+changingPageSize, "%d targets", open)
	})
	t.Run("after some pages if a service has few", func(t *testing.T) {
		run := newIncrementalRun(1)
		run.runUntil(t, func() bool { return usable(run) })
		assert.Equal(t, run.incremental.pages, maxPagesUntilUsable)
	})
	t.Run("without targets of evacuated zones", func(t *testing.T) {
		run := newIncrementalRun(1)
		run.store.evacuate("")
		run.runUntil(t, func() bool { return usable(run) })
		assert.Equal(t, run.View().OpenTargetsByService()["roster"], 0)
		assert.Equal(t, run.incremental.pages, maxPagesUntilUsable)
	})
}

// What a daemon knows of a part must not be passed on as the whole.
func TestPartIsNotPassedOn(t *testing.T) {
	run := newIncrementalRun(1)
	run.startPart(t)
	assert.Equal(t, run.View().Revision(), uint64(0))
	assert.Assert(t, run.ConfirmedAt().IsZero())
	fleet := newTestFleet(DefaultFleetConfig())
	fleet.follower = run.Follower
	digest := fleet.Digest(run.now)
	assert.DeepEqual(t, digest, Digest{})
	delta := fleet.Serve(run.now, &Pull{Requester: fleet.Self()})
	assert.Assert(t, delta.IsRedirect && len(delta.Entries) == 0, "%+v", delta)
	fleet.renewReaderLease(run.now)
	assert.Assert(t, !fleet.readerLease.isValid(run.now, time.Hour), "a reader's lease needs a confirmed view")
	assert.Assert(t, !fleet.RoutesConfirmedAt().IsZero(), "the routes are known")
}

// Changes between two pages must not wait for the end of the list.
func TestChangesReachPart(t *testing.T) {
	run := newIncrementalRun(1)
	run.startPart(t)
	known := run.View().Targets()[0].Key
	var number int
	_, err := fmt.Sscanf(known, "target-%03d", &number)
	assert.NilError(t, err)
	run.store.put(number, true)
	run.store.configure(2)
	run.store.put(changingTargets+1, false)
	watch := slices.IndexFunc(run.store.calls, func(call *Call) bool { return call.Kind == CallWatch })
	for ; watch < 0; watch = slices.IndexFunc(run.store.calls, func(call *Call) bool { return call.Kind == CallWatch }) {
		run.tick(20 * time.Millisecond)
	}
	run.respond(watch, run.store.answer)
	assert.Assert(t, !run.isComplete())
	assert.Equal(t, run.View().Configuration().Version, uint64(2))
	assert.Equal(t, run.View().Target(known).State(), storeview.StateDraining)
	assert.Equal(t, run.View().Target(changingKey(changingTargets+1)).State(), storeview.StateOpen)
}

// The list of a large fleet may last longer than the store keeps its history.
func TestListLongerThanHistoryEnds(t *testing.T) {
	run := newIncrementalRun(1)
	for number := 0; !run.isComplete(); number++ {
		assert.Assert(t, number < 1000, "the list does not end")
		run.tick(200 * time.Millisecond)
		run.respondAll()
		run.store.put(number%changingTargets, number%2 == 0)
		run.store.compacted = max(run.store.compacted, run.store.revision-8)
	}
	run.runUntil(t, func() bool { return run.phase == phaseWatching && len(run.store.calls) == 1 })
	run.assertEqualsStore(t)
	for _, event := range run.events {
		assert.Assert(t, event.Kind != EventHistoryGone, event.Detail)
	}
}

// A part stays in use after changes were missed, until the list that begins anew replaces it.
func TestPartIsKeptAfterLostHistory(t *testing.T) {
	run := newIncrementalRun(1)
	run.startPart(t)
	before := run.View().PresentTargetCount()
	run.store.remove(0)
	run.store.compacted = run.store.revision
	run.runUntil(t, func() bool {
		return slices.ContainsFunc(run.events, func(event Event) bool { return event.Kind == EventHistoryGone })
	})
	assert.Assert(t, !run.isComplete() && run.View().PresentTargetCount() >= before)
	run.runUntil(t, func() bool { return run.phase == phaseWatching })
	run.assertEqualsStore(t)
}

// A backup of the store must not reopen a target that drained since.
func TestPartKeepsDrainAfterRestore(t *testing.T) {
	run := newIncrementalRun(1)
	run.store.epoch = 1
	run.startPart(t)
	known := run.View().Targets()[0].Key
	backup, events := run.store.content[known], run.store.events
	var number int
	_, err := fmt.Sscanf(known, "target-%03d", &number)
	assert.NilError(t, err)
	run.store.put(number, true)
	run.runUntil(t, func() bool { return run.View().Target(known).Draining })
	run.store.epoch, run.store.events, run.store.content[known] = 2, events, backup
	run.store.revision--
	listed := func() bool { return run.listEpoch == 2 && run.listWatch.revision > 0 && run.incremental.pages > 3 }
	run.runUntil(t, func() bool { return listed() || run.isComplete() })
	assert.Equal(t, run.View().Target(known).State(), storeview.StateDraining)
	assert.Equal(t, len(run.falselyRemoved), 0)
}

// Revisions of a restored store do not continue those that a watch knows.
func TestRestoreRestartsIncrementalList(t *testing.T) {
	run := newIncrementalRun(1)
	run.store.epoch = 1
	run.startPart(t)
	isWatch := func(call *Call) bool { return call.Kind == CallWatch }
	for !slices.ContainsFunc(run.store.calls, isWatch) {
		run.tick(20 * time.Millisecond)
	}
	run.store.epoch = 2
	run.respond(slices.IndexFunc(run.store.calls, isWatch), run.store.answer)
	assert.Equal(t, len(run.pages), 0, "the list begins anew")
	run.runUntil(t, func() bool { return run.phase == phaseWatching })
	assert.Equal(t, run.epoch(), uint64(2))
	run.assertEqualsStore(t)
}

func TestPeerSnapshotReplacesPart(t *testing.T) {
	run := newIncrementalRun(1)
	run.startPart(t)
	entries := []storeview.Entry{run.store.content["config"]}
	for number := range changingTargets {
		entries = append(entries, run.store.content[changingKey(number)])
	}
	change, isComplete := run.MergeDelta(run.now, &Delta{Entries: entries, Until: run.store.revision})
	assert.Assert(t, isComplete && run.isComplete() && run.incremental == nil)
	assert.Assert(t, !slices.ContainsFunc(change.Details, func(detail string) bool { return strings.HasSuffix(detail, storeview.StateGone) }))
	run.runUntil(t, func() bool { return run.phase == phaseWatching })
	run.assertEqualsStore(t)
}

// The pause before a page grows with the store's latency, so that any number of daemons that do not
// know of each other leave it responsive.
func TestPagesArePacedByLatency(t *testing.T) {
	run := newIncrementalRun(1)
	run.runUntil(t, func() bool { return run.incremental != nil && run.incremental.isUsable })
	run.incremental.hasAllServices = true
	mean := func(latency time.Duration) time.Duration {
		run.storeLatency = latency
		var sum time.Duration
		for range 1000 {
			sum += run.pagePause()
		}
		return sum / 1000
	}
	for _, latency := range []time.Duration{4 * time.Millisecond, 100 * time.Millisecond} {
		measured := mean(latency)
		assert.Assert(t, measured > latency*5/2 && measured < latency*7/2, "%s at a latency of %s", measured, latency)
	}
	assert.Assert(t, mean(time.Hour) <= maxPagePause)
	run.incremental.hasAllServices = false
	assert.Assert(t, mean(100*time.Millisecond) < 120*time.Millisecond, "a part that lacks a service is read faster")
}

// Whatever happens during an incremental list, nothing counts as removed that is only not listed
// yet, no state reverts, and in the end the view is the store's content.
func TestIncrementalListConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := newIncrementalRun(rapid.Uint64().Draw(t, "seed"))
		version := uint64(1)
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				run.tick(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
			},
			"answer": func(t *rapid.T) {
				if len(run.store.calls) > 0 {
					run.respond(rapid.IntRange(0, len(run.store.calls)-1).Draw(t, "call"), run.store.answer)
				}
			},
			"fail": func(t *rapid.T) {
				if len(run.store.calls) > 0 {
					outcome := rapid.SampledFrom([]Outcome{OutcomeFailed, OutcomeThrottled, OutcomeUnavailable}).Draw(t, "outcome")
					run.respond(rapid.IntRange(0, len(run.store.calls)-1).Draw(t, "call"), func(call *Call) *Answer { return answerWithOutcome(call, outcome) })
				}
			},
			"put": func(t *rapid.T) {
				run.store.put(rapid.IntRange(0, changingTargets+19).Draw(t, "number"), rapid.Bool().Draw(t, "draining"))
			},
			"remove": func(t *rapid.T) { run.store.remove(rapid.IntRange(0, changingTargets+19).Draw(t, "number")) },
			"configure": func(*rapid.T) {
				version++
				run.store.configure(version)
			},
			"compact": func(*rapid.T) { run.store.compacted = run.store.revision },
			"": func(t *rapid.T) {
				assert.Equal(t, len(run.falselyRemoved), 0, "%v", run.falselyRemoved)
				if configuration := run.View().Configuration(); configuration != nil {
					assert.Assert(t, configuration.Version <= version)
				}
			},
		})
		run.runUntil(t, func() bool {
			return run.phase == phaseWatching && run.View().Revision() == run.store.revision
		})
		run.assertEqualsStore(t)
		assert.Equal(t, len(run.falselyRemoved), 0, "%v", run.falselyRemoved)
	})
}
