package admission

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/passtray/passtray/internal/catalog"
)

const (
	// retryShare is the number of retries, with another target, that each new flow adds to the
	// retry budget; retryFloor is the number per second that is always allowed. Together they bound
	// a retry storm after an outage.
	retryShare = 0.2
	retryFloor = 2
	retryBurst = 20
	// burstSeconds is the burst size of a service's limit, in seconds of its rate.
	burstSeconds = 0.5
	// minBurst keeps small limits usable when several flows arrive together.
	minBurst = 5
)

// reserved is the fraction of the daemon's budget that each priority must leave untouched: bulk
// flows are rejected once half of it is spent, standard ones once four fifths are, and critical
// ones may use all of it.
var reserved = map[catalog.Priority]float64{
	catalog.PriorityCritical: 0,
	catalog.PriorityStandard: 0.2,
	catalog.PriorityBulk:     0.5,
}

// Limiter limits new flows and retries on one daemon with token buckets: all new flows by priority,
// and flows and retries per service. It is safe for concurrent use and reads no clock.
type Limiter struct {
	mutex    sync.Mutex
	total    *rate.Limiter
	services map[uint32]*serviceLimits
}

type serviceLimits struct {
	limit   float64
	flows   *rate.Limiter
	retries *rate.Limiter
	// credit is the number of retries earned by new flows.
	credit float64
}

// NewLimiter returns a limiter that admits at most perSecond new flows per second; 0 means no
// limit.
func NewLimiter(perSecond int) *Limiter {
	limiter := &Limiter{services: map[uint32]*serviceLimits{}}
	if perSecond > 0 {
		limiter.total = rate.NewLimiter(rate.Limit(perSecond), perSecond)
	}
	return limiter
}

// AllowPriority takes one new flow from the daemon's total budget, a token bucket of one second's
// worth. The remaining tokens decide which priorities are admitted, so that a flood of bulk flows
// leaves room for critical ones.
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
	limits := l.services[number]
	if limits == nil {
		limits = &serviceLimits{retries: rate.NewLimiter(retryFloor, retryBurst)}
		l.services[number] = limits
	}
	return limits
}

// AllowFlow takes one new flow from a service's budget: this daemon's equal share of perSecond,
// which is the limit over all daemons; 0 means no limit.
func (l *Limiter) AllowFlow(now time.Time, number, perSecond uint32, daemons int) bool {
	if perSecond == 0 {
		return true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limits := l.service(number)
	limit := float64(perSecond) / float64(max(1, daemons))
	if limits.flows == nil || limits.limit != limit {
		limits.limit = limit
		limits.flows = rate.NewLimiter(rate.Limit(limit), max(minBurst, int(limit*burstSeconds)))
	}
	return limits.flows.AllowN(now, 1)
}

// RecordFlow counts a new flow, which adds retryShare to the service's retry credit.
func (l *Limiter) RecordFlow(_ time.Time, number uint32) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limits := l.service(number)
	limits.credit = min(limits.credit+retryShare, retryBurst)
}

// AllowRetry takes one retry from a service's credit or, if that is used up, from its floor.
func (l *Limiter) AllowRetry(now time.Time, number uint32) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limits := l.service(number)
	if limits.credit >= 1 {
		limits.credit--
		return true
	}
	return limits.retries.AllowN(now, 1)
}
