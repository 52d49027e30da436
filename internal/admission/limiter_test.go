package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/catalog"
)

// TestOverloadShedsBulkFirst offers two and five times the capacity: half of it bulk, a quarter
// standard, a quarter critical.
func TestOverloadShedsBulkFirst(t *testing.T) {
	for _, overload := range []int{2, 5} {
		const capacity = 1000
		limiter := NewLimiter(capacity)
		now := time.Unix(1000, 0)
		offered, admitted := map[catalog.Priority]int{}, map[catalog.Priority]int{}
		order := []catalog.Priority{catalog.PriorityBulk, catalog.PriorityCritical, catalog.PriorityBulk, catalog.PriorityStandard}
		const seconds = 10
		flows := capacity * overload * seconds
		for flow := range flows {
			priority := order[flow%len(order)]
			arrival := now.Add(time.Duration(flow) * seconds * time.Second / time.Duration(flows))
			offered[priority]++
			if limiter.AllowPriority(arrival, priority) {
				admitted[priority]++
			}
		}
		share := func(priority catalog.Priority) float64 {
			return float64(admitted[priority]) / float64(offered[priority])
		}
		t.Logf("overload %d: critical %.2f, standard %.2f, bulk %.2f", overload,
			share(catalog.PriorityCritical), share(catalog.PriorityStandard), share(catalog.PriorityBulk))
		assert.Assert(t, share(catalog.PriorityCritical) > share(catalog.PriorityStandard) || share(catalog.PriorityStandard) == 1)
		assert.Assert(t, share(catalog.PriorityStandard) > share(catalog.PriorityBulk))
		if overload == 2 {
			assert.Equal(t, share(catalog.PriorityCritical), 1.0, "critical flows take half the capacity: all must be admitted")
		}
	}
}

func TestNoLimitAdmitsEverything(t *testing.T) {
	limiter := NewLimiter(0)
	for range 10_000 {
		assert.Assert(t, limiter.AllowPriority(time.Unix(1000, 0), catalog.PriorityBulk))
	}
}
