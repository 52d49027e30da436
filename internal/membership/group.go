package membership

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"

	"github.com/passtray/passtray/internal/identity"
)

type memberState struct {
	Member
	// suspectUntil is when a suspect is declared dead.
	suspectUntil time.Time
	// forgetAt is when a dead or left member is dropped.
	forgetAt time.Time
}

// probe is one outstanding question to a member.
type probe struct {
	target   identity.Identity
	sequence uint64
	// indirectAt is when others are asked, deadline when the member is suspected.
	indirectAt time.Time
	deadline   time.Time
	indirect   bool
}

// relay is a ping made on another member's request.
type relay struct {
	requester netip.AddrPort
	sequence  uint64
	expires   time.Time
}

// Group is one member's view of the group. It is not safe for concurrent use.
type Group struct {
	config  Config
	random  *rand.Rand
	limiter *rate.Limiter

	self    Member
	members map[identity.Identity]*memberState
	// unsettled are the members with something to expire: suspects, dead and
	// left. They are few, so that a tick need not look at all.
	unsettled map[identity.Identity]bool
	// current is the newest identity at each address.
	current map[netip.AddrPort]identity.Identity
	seeds   []netip.AddrPort
	digest  []byte
	queue   broadcastQueue

	sequence   uint64
	probe      *probe
	relays     map[uint64]relay
	order      []identity.Identity
	nextProbe  time.Time
	nextGossip time.Time
	nextRejoin time.Time
	lastTick   time.Time
	now        time.Time
	leaving    bool

	live []Member
}

// NewGroup makes a group of one. All randomness comes from random.
func NewGroup(config Config, self Member, random *rand.Rand) *Group {
	self.Status = Alive
	group := &Group{
		config:    config,
		random:    random,
		limiter:   rate.NewLimiter(rate.Limit(config.BytesPerSecond), config.BurstBytes),
		self:      self,
		members:   map[identity.Identity]*memberState{},
		unsettled: map[identity.Identity]bool{},
		current:   map[netip.AddrPort]identity.Identity{},
		relays:    map[uint64]relay{},
	}
	group.queue.addMember(self)
	return group
}

// Self returns this member.
func (g *Group) Self() Member { return g.self }

// SetSeeds replaces the addresses through which a group is found. They may be
// wrong or old; each is only tried.
func (g *Group) SetSeeds(seeds []netip.AddrPort) { g.seeds = slices.Clone(seeds) }

// SetDigest replaces the digest that rides on every message.
func (g *Group) SetDigest(digest []byte) { g.digest = digest }

// Broadcast spreads the application's payload through the group.
func (g *Group) Broadcast(payload []byte) { g.queue.addPayload(payload) }

// Live returns the members present, this one among them, ordered by identity.
// The slice must not be changed.
func (g *Group) Live() []Member {
	if g.live == nil {
		if !g.leaving {
			g.live = append(g.live, g.self)
		}
		for _, state := range g.members {
			if state.IsLive() {
				g.live = append(g.live, state.Member)
			}
		}
		slices.SortFunc(g.live, func(a, b Member) int { return a.Identity.Compare(b.Identity) })
	}
	return g.live
}

// IsLive reports whether an identity is present.
func (g *Group) IsLive(member identity.Identity) bool {
	if member == g.self.Identity {
		return !g.leaving
	}
	state := g.members[member]
	return state != nil && state.IsLive()
}

// All returns every member remembered, for a joiner's first list.
func (g *Group) All() []Member {
	all := []Member{g.self}
	for _, state := range g.members {
		all = append(all, state.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return a.Identity.Compare(b.Identity) })
	return all
}

// HasBacklog reports whether more news waits than gossip can carry.
func (g *Group) HasBacklog() bool { return g.queue.hasBacklog() }

// Merge takes in a whole list, as a joiner does.
func (g *Group) Merge(now time.Time, members []Member) Output {
	var output Output
	g.now = now
	for index := range members {
		g.learn(now, members[index], &output)
	}
	return output
}

// learn takes in news of one member.
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
		g.live = nil
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

// supersede declares older runs at the same address dead: two cannot be there.
// The starts order two runs that are both held for alive. Clocks of a machine and
// of its replacement may differ, so a start that is lower but whose rival is gone
// already is taken as it is.
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
		g.live = nil
		output.Changed = true
	}
}

// refute answers a false word on this member with a higher incarnation.
func (g *Group) refute(news Member) {
	if g.leaving || news.Status == Alive || news.Incarnation < g.self.Incarnation {
		return
	}
	g.self.Incarnation = news.Incarnation + 1
	g.live = nil
	g.queue.addMember(g.self)
}

func (g *Group) suspicionTimeout() time.Duration {
	scale := math.Max(1, math.Log10(float64(len(g.members)+1)))
	return time.Duration(float64(g.config.SuspicionMultiplier) * scale * float64(g.config.ProbeInterval))
}

// Leave says good-bye. The datagrams go to a few members at once.
func (g *Group) Leave(now time.Time) Output {
	g.now = now
	g.leaving = true
	g.live = nil
	g.self.Status = Left
	g.queue.addMember(g.self)
	var output Output
	for _, member := range g.pick(2*g.config.GossipFanout, nil) {
		g.sendMessage(member.Address, message{Kind: kindGossip, Updates: []Member{g.self}}, 0, &output)
	}
	return output
}

// pick returns up to count random live members other than this one.
func (g *Group) pick(count int, skip func(identity.Identity) bool) []identity.Identity {
	live := g.Live()
	eligible := func(member identity.Identity) bool {
		return member != g.self.Identity && (skip == nil || !skip(member))
	}
	if count*sparsePick < len(live) {
		return g.pickFew(count, live, eligible)
	}
	var candidates []identity.Identity
	for _, member := range live {
		if eligible(member.Identity) {
			candidates = append(candidates, member.Identity)
		}
	}
	g.random.Shuffle(len(candidates), func(a, b int) { candidates[a], candidates[b] = candidates[b], candidates[a] })
	return candidates[:min(count, len(candidates))]
}

// sparsePick is how many times more members than wanted make drawing single
// ones cheaper than shuffling all.
const sparsePick = 8

// pickFew draws single members until it has enough; most draws succeed.
func (g *Group) pickFew(count int, live []Member, eligible func(identity.Identity) bool) []identity.Identity {
	var picked []identity.Identity
	for range count * sparsePick {
		candidate := live[g.random.IntN(len(live))].Identity
		if eligible(candidate) && !slices.Contains(picked, candidate) {
			picked = append(picked, candidate)
		}
		if len(picked) == count {
			break
		}
	}
	return picked
}

// sendMessage adds the sender, the digest and, within room and budget, news.
func (g *Group) sendMessage(to netip.AddrPort, content message, room int, output *Output) {
	content.From = g.self.Identity
	content.Digest = g.digest
	if room > 0 {
		allowed := min(room, int(g.limiter.TokensAt(g.now)))
		used := g.queue.take(&content, allowed, g.config.retransmitLimit(len(g.members)+1))
		g.limiter.AllowN(g.now, used)
	}
	output.Datagrams = append(output.Datagrams, Datagram{To: to, Bytes: content.encode()})
}

// Step handles one datagram. One that cannot be read changes nothing.
func (g *Group) Step(now time.Time, from netip.AddrPort, datagram []byte) Output {
	var output Output
	var received message
	g.now = now
	if cbor.Unmarshal(datagram, &received) != nil || received.From.Address != from || received.From == g.self.Identity {
		return output
	}
	if received.Digest != nil {
		output.Digests = append(output.Digests, RemoteDigest{From: received.From, Digest: received.Digest})
	}
	output.Broadcasts = append(output.Broadcasts, received.Broadcasts...)
	unknown := g.members[received.From] == nil
	for index := range received.Updates {
		g.learn(now, received.Updates[index], &output)
	}
	if unknown && g.members[received.From] != nil {
		output.Joined = append(output.Joined, received.From)
	}
	g.answer(now, &received, &output)
	return output
}

func (g *Group) answer(now time.Time, received *message, output *Output) {
	from := received.From.Address
	switch received.Kind {
	case kindPing:
		if !received.Target.IsZero() && received.Target.Start != 0 && received.Target != g.self.Identity {
			return
		}
		ack := message{Kind: kindAck, Sequence: received.Sequence}
		if held := g.members[received.From]; held != nil && held.Status != Alive {
			// The sender lives and is held for something else: it must hear of
			// that, so that it can refute.
			ack.Updates = append(ack.Updates, held.Member)
		}
		if g.members[received.From] == nil || received.Target.Start == 0 {
			ack.Updates = append(ack.Updates, g.self)
		}
		g.sendMessage(from, ack, g.room(), output)
	case kindPingRequest:
		g.sequence++
		g.relays[g.sequence] = relay{requester: from, sequence: received.Sequence, expires: now.Add(g.config.ProbeInterval)}
		g.sendMessage(received.Target.Address, message{Kind: kindPing, Sequence: g.sequence, Target: received.Target}, 0, output)
	case kindAck:
		g.takeAck(received, output)
	}
}

func (g *Group) takeAck(received *message, output *Output) {
	if pending, found := g.relays[received.Sequence]; found {
		delete(g.relays, received.Sequence)
		g.sendMessage(pending.requester, message{Kind: kindAck, Sequence: pending.sequence}, 0, output)
		return
	}
	if g.probe != nil && g.probe.sequence == received.Sequence {
		g.probe = nil
	}
}

func (g *Group) room() int { return g.config.MaximumDatagram - 200 }
