package storenode

import (
	"sync"
	"sync/atomic"

	"github.com/passtray/passtray/internal/followed"
	"github.com/passtray/passtray/internal/forwarding"
	"github.com/passtray/passtray/internal/outlier"
	"github.com/passtray/passtray/internal/steering/token"
)

// tokenCounters are the counters of the data path.
type tokenCounters struct {
	forwarding.Counters
	forwarded [token.ReasonCount]atomic.Uint64
	refused   [token.ReasonCount]atomic.Uint64
	dropped   [token.ReasonCount]atomic.Uint64
	held      atomic.Uint64
	// queued counts packets queued because their service was overloaded.
	queued atomic.Uint64
	// unanswered counts failure evidence by strength: unanswered requests and first packets of
	// flows, and short responses. ejections counts the targets ejected as outliers.
	unanswered [outlier.Strong + 1]atomic.Uint64
	ejections  atomic.Uint64
	// dead counts targets declared dead, revived those later found to be alive.
	dead    atomic.Uint64
	revived atomic.Uint64
	// idleResets counts idle flows that were reset because their target was dead or superseded.
	idleResets atomic.Uint64
	// loadsUndecoded counts messages about open flows and speeds that could not be decoded
	// completely.
	loadsUndecoded atomic.Uint64
	// speedResponses counts responses used to estimate the speed of their target.
	speedResponses atomic.Uint64

	mutex sync.Mutex
	calls map[storeCall]uint64
}

// storeCall identifies store calls of one kind and outcome.
type storeCall struct {
	kind    followed.CallKind
	outcome followed.Outcome
}

func (c *tokenCounters) countCall(kind followed.CallKind, outcome followed.Outcome) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls[storeCall{kind, outcome}]++
}
