package admission

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/passtray/passtray/internal/catalog"
)

const (
	// retryShare is how many flows may be steered to another target for each
	// new flow, and retryFloor how many a second in any case. A retry storm
	// after an outage is bounded by both.
	retryShare = 0.2
	retryFloor = 2
	retryBurst = 20
	// burstSeconds is how much of a service's rate may come at once.
	burstSeconds = 0.5
	// minimumBurst lets small limits through on a daemon that gets several
	// flows together.
	minimumBurst = 5
)

// reserved is the share of the daemon's budget that a priority must leave
// untouched: bulk flows stop when half of it is spent, standard ones when four
// fifths are, and critical ones may take all.
var reserved = map[catalog.Priority]float64{
	catalog.PriorityCritical: 0,
	catalog.PriorityStandard: 0.2,
	catalog.PriorityBulk:     0.5,
}

// Limiter bounds new flows and retries on one daemon: all new flows together, by
// priority, and those of each service. It is safe for concurrent use; time is
// passed in.
type Limiter struct {
	mutex    sync.Mutex
	total    *rate.Limiter
	services map[uint32]*serviceLimits
}

type serviceLimits struct {
	limit   float64
	flows   *rate.Limiter
	retries *rate.Limiter
	// credit is the share of retries that new flows have earned.
	credit float64
}

// NewLimiter makes a limiter that admits at most perSecond new flows on this
// daemon; 0 is no limit.
func NewLimiter(perSecond int) *Limiter {
	limiter := &Limiter{services: map[uint32]*serviceLimits{}}
	if perSecond > 0 {
		limiter.total = rate.NewLimiter(rate.Limit(perSecond), perSecond)
	}
	return limiter
}

// AllowPriority takes one new flow from the daemon's whole budget. The budget is
// one second's worth; what is left of it decides which priorities still pass, so
// that a flood of bulk flows leaves room for critical ones.
func (l *Limiter) AllowPriority(now time.Time, priority catalog.Priority) bool {
	if l.total == nil {
		return true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.total.TokensAt(now)-1 < reserved[priority]*float64(l.total.Burst()) {
		return false
	}
	return l.total.AllowN(now, 1)
}

func (l *Limiter) service(number uint32) *serviceLimits {
	held := l.services[number]
	if held == nil {
		held = &serviceLimits{retries: rate.NewLimiter(retryFloor, retryBurst)}
		l.services[number] = held
	}
	return held
}

// AllowFlow takes one new flow from a service's budget: this daemon's even part
// of perSecond, which is over all daemons; 0 is no limit.
func (l *Limiter) AllowFlow(now time.Time, number, perSecond uint32, daemons int) bool {
	if perSecond == 0 {
		return true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	held := l.service(number)
	limit := float64(perSecond) / float64(max(1, daemons))
	if held.flows == nil || held.limit != limit {
		held.limit = limit
		held.flows = rate.NewLimiter(rate.Limit(limit), max(minimumBurst, int(limit*burstSeconds)))
	}
	return held.flows.AllowN(now, 1)
}

// NoteFlow counts a new flow, which earns a share of a retry.
func (l *Limiter) NoteFlow(_ time.Time, number uint32) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	held := l.service(number)
	held.credit = min(held.credit+retryShare, retryBurst)
}

// AllowRetry takes one retry from a service's budget.
func (l *Limiter) AllowRetry(now time.Time, number uint32) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	held := l.service(number)
	if held.credit >= 1 {
		held.credit--
		return true
	}
	return held.retries.AllowN(now, 1)
}
