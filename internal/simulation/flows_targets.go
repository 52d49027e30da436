package simulation

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/passtray/passtray/internal/storeview"
)

// FlowTarget is one incarnation of a target.
type FlowTarget struct {
	Key        string
	Identifier uint64
	Service    string
	Address    netip.AddrPort
	Zone       string
	Alive      bool
	// Mute has the target accept flows and leave their requests unanswered.
	Mute bool
	// Hangs has the target acknowledge requests and never respond.
	Hangs bool
	// LeavingAt is when the store recorded that the target drains or was removed, zero before.
	LeavingAt time.Time

	startedAt time.Time
	// slowStart is how long the target is in slow start.
	slowStart time.Duration
	flows     map[*Flow]bool
}

// renewalInterval is the time between two writes of a target's entry.
const renewalInterval = 1200 * time.Millisecond

// entry returns what a target writes at a time.
func (t *FlowTarget) entry(now time.Time, isDraining bool) *storeview.Target {
	age := now.Sub(t.startedAt)
	return &storeview.Target{
		Identifier: t.Identifier, Service: t.Service, Address: t.Address, Zone: t.Zone, Slots: 2, Draining: isDraining,
		SlowStartRemaining: max(0, t.slowStart-age), Sequence: 1 + uint64(age/renewalInterval),
	}
}

// isServing reports whether the target processes packets of callers.
func (t *FlowTarget) isServing() bool { return t.Alive && !t.Mute }

// AddTarget starts a target at an address and registers it in the store.
func (m *FlowModel) AddTarget(service, zone string, address netip.AddrPort) *FlowTarget {
	target := m.newTarget(service, zone, address)
	m.putTarget(target, false)
	return target
}

// newTarget starts a target at an address.
func (m *FlowModel) newTarget(service, zone string, address netip.AddrPort) *FlowTarget {
	m.targetCount++
	target := &FlowTarget{
		Key: fmt.Sprint("target-", m.targetCount), Identifier: 0x1_0000_0000 + uint64(m.targetCount), Service: service,
		Address: address, Zone: zone, Alive: true, startedAt: m.Clock.Now(), flows: map[*Flow]bool{},
	}
	m.targets[address] = target
	return target
}

func (m *FlowModel) putTarget(target *FlowTarget, draining bool) {
	m.applyWrite(target, target.entry(m.Clock.Now(), draining))
}

// applyWrite has the store apply what a target wrote.
func (m *FlowModel) applyWrite(target *FlowTarget, entry *storeview.Target) {
	if !m.OmitIncarnations {
		entry.Incarnation = uint64(target.startedAt.UnixMilli())
	}
	m.Store.Put(storeview.Entry{Key: target.Key, Target: entry})
}

// AddColdTarget starts a target in slow start, whose entry changes with each renewal until it is warm.
func (m *FlowModel) AddColdTarget(service, zone string, address netip.AddrPort, slowStart time.Duration) *FlowTarget {
	target := m.AddTarget(service, zone, address)
	target.slowStart = slowStart
	m.putTarget(target, false)
	var renew func()
	renew = func() {
		if !target.Alive {
			return
		}
		m.putTarget(target, !target.LeavingAt.IsZero())
		if m.Clock.Now().Sub(target.startedAt) < slowStart {
			m.Clock.After(renewalInterval, renew)
		}
	}
	m.Clock.After(renewalInterval, renew)
	return target
}

// ReplaceCrashedTarget crashes a target, starts another one at its address after downtime, and has the
// store apply the last write of the crashed one only after delay. Its entry expires entryTTL after
// the last write that the store applied.
func (m *FlowModel) ReplaceCrashedTarget(target *FlowTarget, downtime, delay time.Duration, started func(later *FlowTarget)) {
	m.stopTarget(target)
	late := target.entry(m.Clock.Now(), false)
	late.Sequence++
	remove := func() { m.Store.Put(storeview.Entry{Key: target.Key}) }
	if delay > entryTTL {
		m.Clock.After(entryTTL, remove)
	}
	m.Clock.After(delay, func() {
		m.Store.Put(storeview.Entry{Key: target.Key, Target: late})
		m.Clock.After(entryTTL, remove)
	})
	m.Clock.After(downtime, func() { started(m.AddTarget(target.Service, target.Zone, target.Address)) })
}

// ReplaceTwiceCrashedTarget crashes a target and starts another one at its address after downtime, whose
// first write is applied only after delay. That one crashes after life, before the store knows it, and a
// third one starts after downtime.
func (m *FlowModel) ReplaceTwiceCrashedTarget(target *FlowTarget, downtime, life, delay time.Duration, started func(later *FlowTarget)) {
	m.stopTarget(target)
	m.Clock.After(entryTTL, func() { m.Store.Put(storeview.Entry{Key: target.Key}) })
	m.Clock.After(downtime, func() {
		unlisted := m.newTarget(target.Service, target.Zone, target.Address)
		first := unlisted.entry(m.Clock.Now(), false)
		m.Clock.After(delay, func() {
			m.applyWrite(unlisted, first)
			m.Clock.After(entryTTL, func() { m.Store.Put(storeview.Entry{Key: unlisted.Key}) })
		})
		m.Clock.After(life, func() {
			m.stopTarget(unlisted)
			m.Clock.After(downtime, func() { started(m.AddTarget(target.Service, target.Zone, target.Address)) })
		})
	})
}

// DrainTarget marks a target as draining, then stops it and removes its entry.
func (m *FlowModel) DrainTarget(target *FlowTarget) {
	target.LeavingAt = m.Clock.Now()
	m.putTarget(target, true)
	m.Clock.After(drainBound+500*time.Millisecond, func() {
		m.stopTarget(target)
		m.Store.Put(storeview.Entry{Key: target.Key})
	})
}

// RemoveTarget removes a target's entry without draining, and stops the target later.
func (m *FlowModel) RemoveTarget(target *FlowTarget) {
	target.LeavingAt = m.Clock.Now()
	m.Store.Put(storeview.Entry{Key: target.Key})
	m.Clock.After(drainBound+500*time.Millisecond, func() { m.stopTarget(target) })
}

// ExpireTarget removes a target's entry as if it expired during a store outage. The target registers
// again after renewAfter if it is alive and not leaving.
func (m *FlowModel) ExpireTarget(target *FlowTarget, renewAfter time.Duration) {
	if !target.LeavingAt.IsZero() {
		return
	}
	m.Store.Put(storeview.Entry{Key: target.Key})
	m.Clock.After(renewAfter, func() {
		if target.Alive && target.LeavingAt.IsZero() {
			m.putTarget(target, false)
		}
	})
}

// entryTTL is how long the entry of a target stays after its last renewal.
const entryTTL = 3600 * time.Millisecond

// RestartTarget crashes a target and later starts it again with the same identifier at an address.
// started is called with the new incarnation.
func (m *FlowModel) RestartTarget(target *FlowTarget, after time.Duration, address netip.AddrPort, started func(later *FlowTarget)) {
	m.stopTarget(target)
	later := &FlowTarget{
		Key: target.Key, Identifier: target.Identifier, Service: target.Service, Address: address, Zone: target.Zone,
		flows: map[*Flow]bool{},
	}
	if after > entryTTL {
		m.Clock.After(entryTTL, func() { m.Store.Put(storeview.Entry{Key: target.Key}) })
	}
	m.Clock.After(after, func() {
		later.Alive, later.startedAt = true, m.Clock.Now()
		m.targets[address] = later
		delete(m.declaredDeadAt, later.Identifier)
		m.putTarget(later, false)
		started(later)
	})
}

// CrashTarget crashes a target; its entry expires later.
func (m *FlowModel) CrashTarget(target *FlowTarget) {
	m.stopTarget(target)
	m.Clock.After(entryTTL, func() {
		target.LeavingAt = m.Clock.Now()
		m.Store.Put(storeview.Entry{Key: target.Key})
	})
}

func (m *FlowModel) stopTarget(target *FlowTarget) {
	target.Alive = false
	if m.targets[target.Address] == target {
		delete(m.targets, target.Address)
	}
}

// EvacuateZone writes an order to evacuate a zone, whose targets then get no new flows.
func (m *FlowModel) EvacuateZone(zone string) {
	m.Store.Evacuate(zone)
	m.evacuated[zone] = m.Clock.Now()
}

// WithdrawZone withdraws the order.
func (m *FlowModel) WithdrawZone(zone string) {
	m.Store.WithdrawEvacuation(zone)
	delete(m.evacuated, zone)
}
