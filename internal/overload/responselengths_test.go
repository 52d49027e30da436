package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// mixedLoad is ten minutes of 100 requests per second that take 200 ms each at targets without a
// limit of their own.
type mixedLoad struct {
	// shortShare is the share of short responses.
	shortShare float64
	// From overloadFrom until overloadUntil four in five responses are rejections.
	overloadFrom, overloadUntil time.Duration
	seed                        uint64
}

// mixedResult counts rejected requests, in total and in the last five minutes, and reports whether
// the limit is active at the end.
type mixedResult struct {
	refused, refusedLate int
	isLimited            bool
}

func (m mixedLoad) run() (result mixedResult) {
	const (
		requests = 60000
		pause    = 10 * time.Millisecond
		work     = 200 * time.Millisecond
		rejected = 0.8
	)
	random := rand.New(rand.NewPCG(m.seed, 2))
	controller := New(DefaultConfig())
	controller.SetShare(240, 88)
	now := start
	var ends []time.Time
	for index := range requests {
		now = now.Add(pause)
		for len(ends) > 0 && !now.Before(ends[0]) {
			ends = ends[1:]
			controller.End(Ordinary)
			share, since := m.shortShare, now.Sub(start)
			if since >= m.overloadFrom && since < m.overloadUntil {
				share = rejected
			}
			length := uint32(responseSize)
			if random.Float64() < share {
				length = rejectSize
			}
			controller.RecordResponse(now, route, length)
		}
		if !controller.Admit(now, Ordinary) {
			result.refused++
			if index >= requests/2 {
				result.refusedLate++
			}
			continue
		}
		controller.Begin(Ordinary)
		ends = append(ends, now.Add(work))
	}
	_, result.isLimited = controller.Limit(now)
	return result
}

// maxChanceRejections is how many of the 60,000 requests of a mixedLoad may be rejected by chance.
const maxChanceRejections = 30

// Many routes have responses of two lengths. Hardly any request may be rejected because of them,
// and no limit may be active at the end.
func TestRegularShortResponsesDoNotActivateLimit(t *testing.T) {
	for _, oneIn := range []int{3, 4, 5, 6, 8, 20, 50} {
		t.Run(fmt.Sprint("one in ", oneIn), func(t *testing.T) {
			for seed := range uint64(10) {
				result := mixedLoad{shortShare: 1 / float64(oneIn), seed: seed}.run()
				assert.Assert(t, result.refused <= maxChanceRejections, "%d refused, seed %d", result.refused, seed)
				assert.Assert(t, !result.isLimited, "seed %d", seed)
			}
		})
	}
}

// The limit must end after a minute of rejections, also on routes with regular short responses.
func TestLimitEndsAfterOverloadDespiteShortResponses(t *testing.T) {
	for _, oneIn := range []int{3, 5, 8, 20} {
		t.Run(fmt.Sprint("one in ", oneIn), func(t *testing.T) {
			for seed := range uint64(10) {
				result := mixedLoad{shortShare: 1 / float64(oneIn), overloadFrom: time.Minute, overloadUntil: 2 * time.Minute, seed: seed}.run()
				assert.Assert(t, result.refused > 1000, "overload not detected: %d, seed %d", result.refused, seed)
				assert.Assert(t, result.refusedLate <= maxChanceRejections, "%d refused, seed %d", result.refusedLate, seed)
				assert.Assert(t, !result.isLimited, "seed %d", seed)
			}
		})
	}
}

// The short error responses of one failing target in a hundred must not activate the limit for a
// twentieth of the responses or more.
func TestOneFailingTargetDoesNotActivateLimit(t *testing.T) {
	const responses, pause = 300000, 2 * time.Millisecond
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 2))
		controller := New(DefaultConfig())
		controller.SetShare(200, 3)
		limited := 0
		for index := range responses {
			now := start.Add(time.Duration(index) * pause)
			length := uint32(responseSize)
			if index > 1000 && random.IntN(100) == 0 {
				length = rejectSize
			}
			controller.RecordResponse(now, route, length)
			if _, isLimited := controller.Limit(now); isLimited {
				limited++
			}
		}
		assert.Assert(t, limited < responses/20, "limit active for %d of %d responses, seed %d", limited, responses, seed)
	}
}

// A daemon that starts during overload must detect rejections, although more than half of its
// responses, including the first, are rejections.
func TestDetectsRejectionsWhenStartedDuringOverload(t *testing.T) {
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 2))
		controller := New(DefaultConfig())
		controller.SetShare(240, 88)
		seen := 0
		for index := range 6000 {
			length := uint32(responseSize)
			if index == 0 || random.IntN(100) < 64 {
				length = rejectSize
			}
			if controller.RecordResponse(start.Add(time.Duration(index)*10*time.Millisecond), route, length) {
				seen++
			}
		}
		assert.Assert(t, seen > 1000, "%d of some 3,840 rejections detected, seed %d", seen, seed)
	}
}

// A moderate increase of short responses is no overload and becomes the baseline, with few
// activations of the limit. The rate is that of a daemon in a large fleet: a dozen responses per
// second, of which a fifth are short.
func TestModerateIncreaseOfShortResponsesRarelyActivatesLimit(t *testing.T) {
	activations := 0
	for seed := range uint64(20) {
		random, c, now := rand.New(rand.NewPCG(seed, 3)), newLearnedController(t), start
		for range 12 * 300 {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / 12))
			length := uint32(responseSize)
			if random.IntN(5) == 0 {
				length = rejectSize
			}
			_, wasLimited := c.Limit(now)
			c.RecordResponse(now, route, length)
			if _, isLimited := c.Limit(now); isLimited && !wasLimited {
				activations++
			}
		}
	}
	assert.Assert(t, activations <= 75, "limit activated %d times in 20 times five minutes", activations)
}
