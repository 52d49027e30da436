package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/identity"
)

// Tick lets time pass. It is to be called several times a ProbeTimeout. A call
// that comes late shows that this daemon was paused: what it missed meanwhile
// says nothing of others, so deadlines move on by the pause before any is
// acted on.
func (g *Group) Tick(now time.Time) Output {
	var output Output
	g.forgivePause(now)
	g.lastTick = now
	g.now = now
	if g.leaving {
		return output
	}
	g.expireSuspects(now, &output)
	g.followProbe(now, &output)
	if !now.Before(g.nextProbe) {
		g.nextProbe = now.Add(g.config.ProbeInterval)
		g.startProbe(now, &output)
	}
	if !now.Before(g.nextGossip) {
		g.nextGossip = now.Add(g.config.GossipInterval)
		g.gossip(&output)
	}
	if !now.Before(g.nextRejoin) {
		g.rejoin(now, &output)
	}
	return output
}

func (g *Group) forgivePause(now time.Time) {
	if g.lastTick.IsZero() {
		return
	}
	late := now.Sub(g.lastTick)
	if late < g.config.ProbeInterval {
		return
	}
	g.probe = nil
	for member := range g.unsettled {
		if state := g.members[member]; state.Status == Suspect {
			state.suspectUntil = state.suspectUntil.Add(late)
		}
	}
}

func (g *Group) expireSuspects(now time.Time, output *Output) {
	for _, member := range g.sortedUnsettled() {
		state := g.members[member]
		switch {
		case state.Status == Suspect && !now.Before(state.suspectUntil):
			g.declare(now, state, Dead, output)
		case !state.IsLive() && !now.Before(state.forgetAt):
			delete(g.members, member)
			delete(g.unsettled, member)
			g.queue.forget(member)
			if g.current[member.Address] == member {
				delete(g.current, member.Address)
			}
		}
	}
	for sequence, pending := range g.relays {
		if !now.Before(pending.expires) {
			delete(g.relays, sequence)
		}
	}
}

// sortedUnsettled gives a fixed order to what is done to several members, so
// that a seeded run repeats.
func (g *Group) sortedUnsettled() []identity.Identity {
	if len(g.unsettled) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(g.unsettled), identity.Identity.Compare)
}

// followProbe asks others when the member is silent, and suspects it when they
// get no answer either.
func (g *Group) followProbe(now time.Time, output *Output) {
	pending := g.probe
	if pending == nil {
		return
	}
	if !now.Before(pending.deadline) {
		g.probe = nil
		if state := g.members[pending.target]; state != nil && state.Status == Alive {
			g.declare(now, state, Suspect, output)
			// The suspect itself hears of it first, and may refute.
			g.sendMessage(pending.target.Address, message{Kind: kindGossip, Updates: []Member{state.Member}}, 0, output)
		}
		return
	}
	if pending.indirect || now.Before(pending.indirectAt) {
		return
	}
	pending.indirect = true
	helpers := g.pick(g.config.IndirectProbes, func(member identity.Identity) bool { return member == pending.target })
	for _, helper := range helpers {
		g.sendMessage(helper.Address, message{Kind: kindPingRequest, Sequence: pending.sequence, Target: pending.target}, 0, output)
	}
}

// startProbe pings the next member of a random order that is drawn anew when it
// is used up, so that each is probed within a bounded time (section 4.3).
func (g *Group) startProbe(now time.Time, output *Output) {
	if g.probe != nil {
		return
	}
	for {
		if len(g.order) == 0 {
			g.order = g.pick(len(g.members), nil)
			if len(g.order) == 0 {
				return
			}
		}
		target := g.order[0]
		g.order = g.order[1:]
		if !g.IsLive(target) {
			continue
		}
		g.sequence++
		g.probe = &probe{
			target: target, sequence: g.sequence,
			indirectAt: now.Add(g.config.ProbeTimeout), deadline: now.Add(g.config.ProbeInterval - g.config.ProbeTimeout/10),
		}
		// The sender's own record makes every probe repair what gossip has lost:
		// a receiver that did not know it passes it on as news.
		ping := message{Kind: kindPing, Sequence: g.sequence, Target: target, Updates: []Member{g.self}}
		if state := g.members[target]; state.Status == Suspect {
			ping.Updates = append(ping.Updates, state.Member)
		}
		g.sendMessage(target.Address, ping, g.room(), output)
		return
	}
}

func (g *Group) gossip(output *Output) {
	if len(g.queue.items) == 0 {
		return
	}
	for _, member := range g.pick(g.config.GossipFanout, nil) {
		if len(g.queue.items) == 0 || g.limiter.TokensAt(g.now) < approximateMemberSize {
			return
		}
		g.sendMessage(member.Address, message{Kind: kindGossip}, g.room(), output)
	}
}

// rejoin pings a few seeds that are not known as live, at first often and then
// now and then, which also heals a group that was cut in two for so long that
// each side declared the other dead.
func (g *Group) rejoin(now time.Time, output *Output) {
	interval := g.config.RejoinInterval
	if len(g.Live()) <= 1 {
		interval = g.config.ProbeInterval
	}
	g.nextRejoin = now.Add(interval)
	var unknown []int
	for index, seed := range g.seeds {
		if current, known := g.current[seed]; seed != g.self.Identity.Address && (!known || !g.IsLive(current)) {
			unknown = append(unknown, index)
		}
	}
	g.random.Shuffle(len(unknown), func(a, b int) { unknown[a], unknown[b] = unknown[b], unknown[a] })
	for _, index := range unknown[:min(g.config.GossipFanout, len(unknown))] {
		g.sequence++
		ping := message{Kind: kindPing, Sequence: g.sequence, Updates: []Member{g.self}}
		g.sendMessage(g.seeds[index], ping, g.room(), output)
	}
}
