package token

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/ownership"
	"github.com/passtray/passtray/internal/storeview"
)

// newLargeSite has a service of many targets, of which only the first ones are listed by the store
// that has just come back.
func newLargeSite(targets, listed int) *site {
	s := &site{
		view:    storeview.New(time.Minute),
		builder: NewBuilder(time.Minute),
		opener:  NewOpener("a", rand.New(rand.NewPCG(1, 1)), ownership.NewTable(1024, 3*time.Second), 3*time.Second),
		now:     testStart,
	}
	entries := []storeview.Entry{{Key: "config", Revision: 1, Configuration: &storeview.Configuration{
		Version: 1, Routes: standardRoutes(), Services: []storeview.Service{{Name: "roster"}, {Name: "ledger"}},
	}}}
	for number := range targets {
		entries = append(entries, storeview.Entry{Key: fmt.Sprint("roster-", number), Revision: 2, Target: &storeview.Target{
			Identifier: uint64(1000 + number), Service: "roster", Slots: 2, Zone: "a",
			Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+number)),
		}})
	}
	s.view.Merge(testStart, entries)
	s.view.MergeSnapshot(testStart, entries[:1+listed], 3)
	s.table = s.builder.Build(testStart, s.view)
	s.opener.SetExpiryWindow(storeview.ExpiryWindow{Since: testStart, Until: testStart.Add(2500 * time.Millisecond)})
	return s
}

// BenchmarkOpen picks targets while all of them are listed, and while the store has just come back
// with none.
func BenchmarkOpen(b *testing.B) {
	for _, targets := range []int{150, 1000, 10_000, 20_000} {
		for name, listed := range map[string]int{"all": targets, "none": 0} {
			b.Run(fmt.Sprint(name, " of ", targets, " listed"), func(b *testing.B) {
				site := newLargeSite(targets, listed)
				b.ReportAllocs()
				for b.Loop() {
					site.opener.pick(site.now, site.table, site.table.routes[rosterAddress], nil)
				}
			})
		}
	}
}

// TestPickDoesNotAllocate guards against allocations per first packet, also while targets are
// missing from the store.
func TestPickDoesNotAllocate(t *testing.T) {
	for name, listed := range map[string]int{"all listed": 1000, "none listed": 0} {
		t.Run(name, func(t *testing.T) {
			site := newLargeSite(1000, listed)
			route := site.table.routes[rosterAddress]
			pick := func() { assert.Assert(t, site.opener.pick(site.now, site.table, route, nil) != nil) }
			pick()
			assert.Equal(t, testing.AllocsPerRun(100, pick), 0.0)
		})
	}
}
