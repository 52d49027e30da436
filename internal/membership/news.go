package membership

import (
	"math"
	"time"
)

// learn applies an update of one member, unless the known record overrides it.
func (g *Group) learn(now time.Time, news Member, output *Output) {
	if news.Identity == g.self.Identity {
		g.refute(news)
		return
	}
	if news.Identity.Address == g.self.Identity.Address || !news.Identity.Address.IsValid() {
		return
	}
	held := g.members[news.Identity]
	if held != nil && !news.overrides(&held.Member) {
		return
	}
	if held == nil {
		if !news.IsLive() && news.Status != Left && news.Status != Dead {
			return
		}
		held = &memberState{Member: Member{Identity: news.Identity}}
		g.members[news.Identity] = held
	}
	wasLive := held.IsLive()
	held.Member = news
	g.queue.addMember(news)
	g.applyStatus(now, held)
	g.supersede(now, held, output)
	if wasLive != held.IsLive() {
		g.noteLive(&held.Member, held.IsLive())
		output.Changed = true
	}
}

func (g *Group) applyStatus(now time.Time, state *memberState) {
	delete(g.unsettled, state.Identity)
	if state.Status != Alive {
		g.unsettled[state.Identity] = true
	}
	switch state.Status {
	case Suspect:
		state.suspectUntil = now.Add(g.suspicionTimeout())
	case Dead, Left:
		state.forgetAt = now.Add(g.config.DeadRetention)
	}
}

// supersede declares the older of two live identities at one address dead, since only one process can
// run there. Start numbers decide which is older. They depend on the machines' clocks, so a lower
// start is accepted where the other identity is no longer live.
func (g *Group) supersede(now time.Time, state *memberState, output *Output) {
	if !state.IsLive() {
		return
	}
	address := state.Identity.Address
	current, known := g.current[address]
	rival := g.members[current]
	if !known || current == state.Identity || rival == nil || !rival.IsLive() {
		g.current[address] = state.Identity
		return
	}
	older, newer := rival, state
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
		g.noteLive(&state.Member, state.IsLive())
		output.Changed = true
	}
}

// refute answers a suspicion or death of this member with a higher incarnation.
func (g *Group) refute(news Member) {
	if g.leaving || news.Status == Alive || news.Incarnation < g.self.Incarnation {
		return
	}
	g.self.Incarnation = news.Incarnation + 1
	g.noteLive(&g.self, true)
	g.queue.addMember(g.self)
}

func (g *Group) suspicionTimeout() time.Duration {
	scale := math.Max(1, math.Log10(float64(len(g.members)+1)))
	return time.Duration(float64(g.config.SuspicionMultiplier) * scale * float64(g.config.ProbeInterval))
}
