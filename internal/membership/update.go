package membership

import (
	"math"
	"time"

	"github.com/passtray/passtray/internal/identity"
)

// applyUpdate applies an update of one member if it overrides the known record.
func (g *Group) applyUpdate(now time.Time, update Member, output *Output) {
	if update.Identity == g.self.Identity {
		g.refute(update)
		return
	}
	if update.Identity.Address == g.self.Identity.Address {
		if update.IsLive() {
			g.endPredecessor(update.Identity)
		}
		return
	}
	if !update.Identity.Address.IsValid() {
		return
	}
	known := g.members[update.Identity]
	if known != nil && !update.overrides(&known.Member) {
		return
	}
	if known == nil {
		if !update.IsLive() && update.Status != Left && update.Status != Dead {
			return
		}
		if update.IsLive() && g.asksIncumbent(update.Identity, output) {
			return
		}
		known = &memberState{Member: Member{Identity: update.Identity}}
		g.members[update.Identity] = known
	}
	wasLive := known.IsLive()
	known.Member = update
	g.queue.addMember(update)
	g.applyStatus(now, known)
	g.supersede(now, known, output)
	if wasLive != known.IsLive() {
		g.updateLive(&known.Member, known.IsLive())
		output.Changed = true
	}
}

func (g *Group) applyStatus(now time.Time, state *memberState) {
	delete(g.expiring, state.Identity)
	if state.Status != Alive {
		g.expiring[state.Identity] = true
	}
	switch state.Status {
	case Suspect:
		state.suspectUntil = now.Add(g.suspicionTimeout())
	case Dead, Left:
		state.removeAt = now.Add(g.config.DeadRetention)
	}
}

// supersede declares the older of two live identities at one address dead, since only one process can
// run there. Start numbers decide which is older. They depend on the machines' clocks, so a lower
// start is accepted where the other identity is no longer live; see endPredecessor.
func (g *Group) supersede(now time.Time, state *memberState, output *Output) {
	if !state.IsLive() {
		return
	}
	address := state.Identity.Address
	current, found := g.current[address]
	incumbent := g.members[current]
	if !found || current == state.Identity || incumbent == nil || !incumbent.IsLive() {
		g.current[address] = state.Identity
		return
	}
	older, newer := incumbent, state
	if older.Identity.Start > newer.Identity.Start {
		older, newer = newer, older
	}
	g.current[address] = newer.Identity
	g.declare(now, older, Dead, output)
}

func (g *Group) declare(now time.Time, state *memberState, status Status, output *Output) {
	wasLive := state.IsLive()
	state.Status = status
	g.applyStatus(now, state)
	g.queue.addMember(state.Member)
	if wasLive != state.IsLive() {
		g.updateLive(&state.Member, state.IsLive())
		output.Changed = true
	}
}

// refute answers a suspicion or death of this member with a higher incarnation.
func (g *Group) refute(update Member) {
	if g.leaving || update.Status == Alive || update.Incarnation < g.self.Incarnation {
		return
	}
	g.self.Incarnation = update.Incarnation + 1
	g.updateLive(&g.self, true)
	g.queue.addMember(g.self)
}

// maxIncumbentPings bounds the pings of incumbents in a probe interval. When many members restart at
// once, old reports of them are frequent; beyond the bound start numbers decide.
const maxIncumbentPings = 8

// asksIncumbent pings the live member at an address at which an unknown incarnation with a lower start
// number was reported. Either the report is old or the clock was set back; in that case the reply
// announces that the incumbent has ended. It reports false if there is no such member, or none is pinged.
func (g *Group) asksIncumbent(reported identity.Identity, output *Output) bool {
	incumbent, found := g.LiveAt(reported.Address)
	if !found || reported.Start >= incumbent.Identity.Start || g.incumbentPings >= maxIncumbentPings {
		return false
	}
	g.incumbentPings++
	g.sequence++
	ping := message{Kind: kindPing, Sequence: g.sequence, Target: incumbent.Identity, Updates: g.ownRecords()}
	g.sendMessage(reported.Address, ping, 0, output)
	return true
}

// endPredecessor announces that an earlier incarnation at this member's address has ended, if its
// start number is higher: the clock was set back since, so that others would hold this member for the
// older one until they detect the failure of its predecessor.
func (g *Group) endPredecessor(predecessor identity.Identity) {
	isAnnounced := predecessor == g.predecessor.Identity // by each ping since
	if g.leaving || isAnnounced || predecessor.Start <= g.self.Identity.Start {
		return
	}
	g.predecessor = g.self
	g.predecessor.Identity, g.predecessor.Status = predecessor, Left
	g.queue.addMember(g.predecessor)
	g.queue.addMember(g.self)
}

// ownRecords returns the records with which this member announces itself.
func (g *Group) ownRecords() []Member {
	if g.predecessor.Identity.IsZero() {
		return []Member{g.self}
	}
	return []Member{g.predecessor, g.self}
}

func (g *Group) suspicionTimeout() time.Duration {
	scale := math.Max(1, math.Log10(float64(len(g.members)+1)))
	return time.Duration(float64(g.config.SuspicionMultiplier) * scale * float64(g.config.ProbeInterval))
}
