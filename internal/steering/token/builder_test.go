package token

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/passtray/passtray/internal/balance"
	"github.com/passtray/passtray/internal/storeview"
)

// openTargets returns the targets of a service that accept new flows.
func (s *site) openTargets(service string) []*Target {
	return valuesOf(&s.table.services[service].eligible)
}

func valuesOf(pool *balance.Pool[*Target]) []*Target {
	var targets []*Target
	for _, entry := range pool.Entries() {
		targets = append(targets, entry.Value)
	}
	slices.SortFunc(targets, func(a, b *Target) int { return cmp.Compare(a.Key, b.Key) })
	return targets
}

// describe returns everything that decisions read from a table's targets.
func describe(table *Table) []string {
	var lines []string
	names := func(targets []*Target) (keys []string) {
		for _, target := range targets {
			keys = append(keys, target.Key)
		}
		slices.Sort(keys)
		return keys
	}
	table.index.each(func(target *Target) {
		lines = append(lines, fmt.Sprint(target.Key, target.Identifier, target.Service, target.Zone, target.Address, target.IsEligible,
			target.IsEvacuated, target.IsSuperseded, target.IsExpired(), target.SlowStartRate, target.WarmAt.UnixNano(), target.isIndexed,
			target.LatestIncarnation, target.isUndeclared))
	})
	for name, zone := range table.index.zones {
		lines = append(lines, fmt.Sprint("zone ", name, names(zone.targets), zone.services))
	}
	for name, service := range table.services {
		lines = append(lines, fmt.Sprint("service ", name, names(valuesOf(&service.eligible)), names(valuesOf(&service.leaving)), service.evacuated))
	}
	lines = append(lines, fmt.Sprint(table.index.count, table.index.eligibleCount, table.index.superseded, names(slices.Collect(maps.Keys(table.index.slowStarting)))))
	slices.Sort(lines)
	return lines
}

// TestIncrementalUpdateMatchesFullBuild checks that incremental updates give the same table as a
// full build, for any sequence of changes.
func TestIncrementalUpdateMatchesFullBuild(t *testing.T) {
	configurations := []*storeview.Configuration{
		{Services: []storeview.Service{{Name: "roster"}, {Name: "ledger", SlowStartRate: 5}}},
		{Services: []storeview.Service{{Name: "roster", MaxFlows: 9}}},
	}
	rapid.Check(t, func(t *rapid.T) {
		view, builder, now := storeview.New(10*time.Second), NewBuilder(time.Minute), testStart
		pick := func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) }
		for revision := range uint64(rapid.IntRange(1, 40).Draw(t, "changes")) {
			now = now.Add(time.Duration(pick("seconds", 3)) * time.Second)
			entry := storeview.Entry{Key: fmt.Sprint("target-", pick("key", 8)), Revision: revision + 1}
			switch pick("kind", 10) {
			case 0:
				configuration := *configurations[pick("configuration", 2)]
				configuration.Version, configuration.Routes = revision, standardRoutes()
				entry.Key, entry.Configuration = "config", &configuration
			case 1:
				entry.Key = "order"
				if pick("is withdrawn", 2) == 0 {
					entry.Order = &storeview.Order{Kind: storeview.OrderEvacuate, Zone: fmt.Sprint("zone", pick("zone", 2))}
				}
			case 2:
				entry.Fault = "unreadable"
			case 3, 4: // a removal
			default:
				entry.Target = &storeview.Target{
					// Some identifiers share a token.
					Identifier: collidingIdentifiers[pick("identifier", len(collidingIdentifiers))],
					Service:    []string{"roster", "ledger", "unknown"}[pick("service", 3)], Zone: fmt.Sprint("zone", pick("zone", 2)),
					Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1+pick("address", 4))),
					Slots:   2, Draining: pick("drains", 4) == 0, SlowStartRemaining: time.Duration(pick("cold", 2)) * time.Second,
					Incarnation: uint64(pick("incarnation", 3)),
				}
			}
			change := view.Merge(now, []storeview.Entry{entry})
			if pick("expires", 3) == 0 {
				expired := view.Expire(now)
				change.ChangedTargets = append(change.ChangedTargets, expired.ChangedTargets...)
			}
			table := builder.Update(now, view, &change)
			if table == nil {
				assert.Equal(t, view.PresentTargetCount(), 0)
				continue
			}
			full := NewBuilder(time.Minute).Build(now, view)
			if full == nil {
				assert.Equal(t, table.EligibleTargets(), 0)
				continue
			}
			full.index.each(func(target *Target) { // only the updated table knows earlier incarnations
				if known := table.index.known(target.Identifier, target.Key); known != nil {
					assert.Assert(t, known.LatestIncarnation >= target.LatestIncarnation)
					target.LatestIncarnation = known.LatestIncarnation
				}
			})
			assert.DeepEqual(t, describe(table), describe(full))
		}
	})
}

// collidingIdentifiers include two identifiers with the same token and two with the same mark.
var collidingIdentifiers = func() []uint64 {
	tokens, marks := map[uint32]uint64{}, map[uint16]uint64{}
	found := []uint64{1, 2, 3}
	var hasMark bool
	for identifier := uint64(10); ; identifier++ {
		token := Of(identifier)
		if other, isKnown := marks[uint16(token>>16)]; isKnown && !hasMark {
			found = append(found, other, identifier)
			hasMark = true
		}
		if other, isKnown := tokens[token]; isKnown {
			return append(found, other, identifier)
		}
		tokens[token], marks[uint16(token>>16)] = identifier, identifier
	}
}()

// TestNewIncarnationStartsWithFreshState guards against blaming a restarted target for failures of
// its previous incarnation.
func TestNewIncarnationStartsWithFreshState(t *testing.T) {
	run := func(incarnation uint64) func(*storeview.Target) {
		return func(target *storeview.Target) { target.Incarnation = incarnation }
	}
	newEjected := func(t *testing.T) (*site, *Target) {
		t.Helper()
		site := newSite(t)
		site.target("roster-0", 100, "roster", run(1000))
		site.table.Eject(100, site.now.Add(time.Minute), site.now.Add(2*time.Minute))
		site.table.SetDead(100, site.now.Add(time.Minute), site.now.Add(2*time.Minute))
		previous := site.table.targetByIdentifier(100)
		previous.Signal.AddPending(2)
		previous.Signal.SetOpenFlows(5)
		site.now = site.now.Add(time.Second)
		return site, previous
	}
	t.Run("resets ejection, death and work in progress, and counts the start as activity", func(t *testing.T) {
		site, _ := newEjected(t)
		site.target("roster-0", 100, "roster", run(2000))
		started := site.table.targetByIdentifier(100)
		assert.Assert(t, !started.Signal.IsEjected(site.now) && !site.table.IsDead(site.now, 100))
		assert.Equal(t, started.Signal.InProgress(site.now), 0.0)
		assert.Assert(t, started.Signal.LastActivity().Equal(site.now))
		assert.Equal(t, site.table.Incarnation(100), uint64(2000))
	})
	t.Run("same or earlier incarnation changes nothing", func(t *testing.T) {
		for _, incarnation := range []uint64{1000, 500} {
			site, previous := newEjected(t)
			site.target("roster-0", 100, "roster", run(incarnation))
			assert.Equal(t, site.table.targetByIdentifier(100).Signal, previous.Signal)
			assert.Equal(t, site.table.Incarnation(100), uint64(1000))
			assert.Assert(t, site.table.IsDead(site.now, 100))
		}
	})
	t.Run("without incarnations the state is kept", func(t *testing.T) {
		site := newSite(t)
		previous := site.table.targetByIdentifier(101)
		site.target("roster-1", 101, "roster", nil)
		assert.Equal(t, site.table.targetByIdentifier(101).Signal, previous.Signal)
	})
	t.Run("target that had left is eligible again", func(t *testing.T) {
		site, _ := newEjected(t)
		site.remove("roster-0")
		assert.Assert(t, !site.table.targetByIdentifier(100).IsEligible)
		site.target("roster-0", 100, "roster", run(2000))
		assert.Assert(t, site.table.targetByIdentifier(100).IsEligible)
		assert.Equal(t, len(site.openTargets("roster")), 6)
	})
	t.Run("full build keeps the state", func(t *testing.T) {
		site, _ := newEjected(t)
		site.target("roster-0", 100, "roster", run(2000))
		signal := site.table.targetByIdentifier(100).Signal
		site.table = site.builder.Build(site.now, site.view)
		assert.Equal(t, site.table.targetByIdentifier(100).Signal, signal)
	})
}

// TestEntryOfUndeclaredServiceSupersedesNoTarget guards a running target against an entry for its
// address that no target wrote.
func TestEntryOfUndeclaredServiceSupersedesNoTarget(t *testing.T) {
	site := newSite(t)
	site.target("stranger", 900, "nobody's", func(target *storeview.Target) {
		target.Address = netip.MustParseAddrPort("10.0.0.1:100")
	})
	assert.Assert(t, !site.table.targetByIdentifier(100).IsSuperseded)
	assert.Equal(t, len(site.openTargets("roster")), 6)
	for number := range 100 {
		assert.Assert(t, site.open(mixedAddress, number).Target.Identifier != 900)
	}
}

// changingSite is a site whose targets change one by one.
type changingSite struct {
	*site
	targets int
	next    int
}

func newChangingSite(targets int) *changingSite {
	return &changingSite{site: newLargeSite(targets, targets), targets: targets}
}

// change toggles draining on the next count targets and returns the change.
func (c *changingSite) change(count int) storeview.Change {
	var entries []storeview.Entry
	for range count {
		c.next++
		c.revision = uint64(c.next + 3)
		number := c.next % c.targets
		entries = append(entries, storeview.Entry{Key: fmt.Sprint("roster-", number), Revision: c.revision, Target: &storeview.Target{
			Identifier: uint64(1000 + number), Service: "roster", Slots: 2, Zone: "a", Draining: c.next/c.targets%2 == 0,
			Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+number)),
		}})
	}
	return c.view.Merge(c.now, entries)
}

// BenchmarkUpdate updates a table with one changed target, and with 1,000 at once.
func BenchmarkUpdate(b *testing.B) {
	for _, targets := range []int{150, 1000, 10_000, 20_000} {
		for _, batch := range []int{1, 1000} {
			b.Run(fmt.Sprint(batch, " of ", targets, " targets"), func(b *testing.B) {
				site := newChangingSite(targets)
				b.ReportAllocs()
				for b.Loop() {
					change := site.change(batch)
					site.table = site.builder.Update(site.now, site.view, &change)
				}
			})
		}
	}
}

// TestUpdateMemoryIsIndependentOfTargetCount checks that the memory to update one target doesn't
// depend on the number of other targets.
func TestUpdateMemoryIsIndependentOfTargetCount(t *testing.T) {
	const bound = 20 << 10 // bytes
	for _, targets := range []int{1000, 20_000} {
		site := newChangingSite(targets)
		const updates = 500
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range updates {
			change := site.change(1)
			site.table = site.builder.Update(site.now, site.view, &change)
		}
		runtime.ReadMemStats(&after)
		each := (after.TotalAlloc - before.TotalAlloc) / updates
		assert.Assert(t, each < bound, "%d bytes among %d targets", each, targets)
	}
}

// BenchmarkBuild builds a table from scratch, as at startup.
func BenchmarkBuild(b *testing.B) {
	for _, targets := range []int{150, 1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(targets, " targets"), func(b *testing.B) {
			site := newLargeSite(targets, targets)
			b.ReportAllocs()
			for b.Loop() {
				NewBuilder(time.Minute).Build(site.now, site.view)
			}
		})
	}
}
