package control

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/consensus"
	"github.com/passtray/passtray/internal/dissemination"
	"github.com/passtray/passtray/internal/identity"
	"github.com/passtray/passtray/internal/membership"
)

// Config holds the core's timings and bounds.
type Config struct {
	Membership membership.Config
	Consensus  consensus.Config
	// Voters is how many daemons vote on the configuration, 1, 3 or 5. Five
	// survive two losses at once; three cost less.
	Voters int
	// FormationDelay is how long a daemon looks for a group before it lets one
	// be founded. Longer makes two groups less likely when machines start
	// unevenly.
	FormationDelay time.Duration
	// FormationRetry is how often the would-be founder asks.
	FormationRetry time.Duration
	// PullDelay is how long a daemon that is behind waits for gossip before it
	// pulls; PullTimeout how long a pull may take before another peer is asked.
	PullDelay   time.Duration
	PullTimeout time.Duration
	// RenewalInterval is how often the leader renews everybody's lease, and
	// LeaseDuration how long one lasts. A lease must outlast several epidemic
	// rounds, or daemons at the edge lose it without a fault.
	RenewalInterval time.Duration
	LeaseDuration   time.Duration
	// ProposalRetry is how often an unanswered proposal is sent again, and
	// ProposalTimeout when its outcome is given up as unknown.
	ProposalRetry   time.Duration
	ProposalTimeout time.Duration
	// StatusTimeout is how long RequestStatus waits for silent daemons.
	StatusTimeout time.Duration
	// CompactAfter is how many entries a voter keeps before it snapshots.
	CompactAfter int
	// MembersSyncInterval is how often the whole member list is compared with
	// one random peer, to repair what gossip lost.
	MembersSyncInterval time.Duration
	// BacklogSyncInterval takes its place while more happens than gossip can
	// carry, as when a region starts.
	BacklogSyncInterval time.Duration
}

// DefaultLANConfig suits a region of a few milliseconds.
func DefaultLANConfig() Config {
	return Config{
		Membership:          membership.DefaultLANConfig(),
		Consensus:           consensus.DefaultLANConfig(),
		Voters:              3,
		FormationDelay:      2 * time.Second,
		FormationRetry:      500 * time.Millisecond,
		PullDelay:           400 * time.Millisecond,
		PullTimeout:         time.Second,
		RenewalInterval:     time.Second,
		LeaseDuration:       15 * time.Second,
		ProposalRetry:       400 * time.Millisecond,
		ProposalTimeout:     8 * time.Second,
		StatusTimeout:       time.Second,
		CompactAfter:        256,
		MembersSyncInterval: 5 * time.Minute,
		BacklogSyncInterval: 10 * time.Second,
	}
}

// Core is one daemon's part in the fleet. It is not safe for concurrent use.
type Core struct {
	config  Config
	self    identity.Identity
	random  *rand.Rand
	started time.Time
	seeds   []netip.AddrPort

	group   *membership.Group
	replica *consensus.Replica
	store   *dissemination.Store

	formation formation
	spread    spread
	lease     lease
	proposals proposals
	statuses  map[uint64]*pendingStatus
	nextSync  time.Time
	formedAt  time.Time
	wasLeader bool

	output Output
}

// NewCore makes the core of a daemon that has just started.
func NewCore(config Config, self membership.Member, now time.Time, random *rand.Rand) *Core {
	core := &Core{
		config:   config,
		self:     self.Identity,
		random:   random,
		started:  now,
		group:    membership.NewGroup(config.Membership, self, random),
		replica:  consensus.NewReplica(config.Consensus, self.Identity, random),
		store:    dissemination.NewStore(),
		statuses: map[uint64]*pendingStatus{},
	}
	core.proposals.init()
	core.nextSync = now.Add(config.MembersSyncInterval)
	return core
}

// Self returns this daemon's identity.
func (c *Core) Self() identity.Identity { return c.self }

// State returns the configuration in force.
func (c *Core) State() *catalog.State { return c.store.State() }

// Version returns how far the configuration in force has come.
func (c *Core) Version() dissemination.Version { return c.store.Version() }

// IsCaughtUp reports whether this daemon has held a lease since its start, and so
// all that was committed then, or has a configuration for so long without one
// that the fleet must be without a leader. Until then its configuration may be
// any old one, a voter's even the first.
func (c *Core) IsCaughtUp(now time.Time) bool {
	if !c.isFormed() {
		return false
	}
	if !c.lease.renewed.IsZero() {
		return true
	}
	return !c.formedAt.IsZero() && now.Sub(c.formedAt) > c.config.LeaseDuration
}

// Live returns the daemons present, ordered by identity.
func (c *Core) Live() []membership.Member { return c.group.Live() }

// Known returns every daemon remembered: those present, and those that left or
// died lately.
func (c *Core) Known() []membership.Member { return c.group.All() }

// IsLeader reports whether this daemon leads the voters.
func (c *Core) IsLeader() bool { return c.replica.Role() == consensus.Leader }

// Replica gives read access to the consensus, for status and checks.
func (c *Core) Replica() *consensus.Replica { return c.replica }

// SetSeeds replaces the machine list: addresses where daemons may be found.
func (c *Core) SetSeeds(seeds []netip.AddrPort) {
	c.seeds = slices.Clone(seeds)
	c.group.SetSeeds(seeds)
}

// Leave says good-bye to the group. Voting goes on until the leader has put
// another daemon in this one's place, so Tick and the handlers stay in use.
func (c *Core) Leave(now time.Time) Output {
	c.takeMembership(now, c.group.Leave(now))
	return c.take()
}

func (c *Core) take() Output {
	output := c.output
	c.output = Output{}
	return output
}

func (c *Core) event(kind EventKind, detail string) {
	c.output.Events = append(c.output.Events, Event{Kind: kind, Detail: detail})
}

func (c *Core) send(to netip.AddrPort, message PeerMessage) {
	message.From = c.self
	c.output.Streams = append(c.output.Streams, StreamMessage{To: to, Message: message})
}

func (c *Core) sendDatagram(to netip.AddrPort, kind datagramKind, content []byte) {
	framed := append([]byte{byte(kind)}, content...)
	c.output.Datagrams = append(c.output.Datagrams, Datagram{To: to, Bytes: framed})
}

// Tick lets time pass. It is to be called about every 50 ms.
func (c *Core) Tick(now time.Time) Output {
	if c.formedAt.IsZero() && c.isFormed() {
		c.formedAt = now
	}
	c.tickLease(now)
	c.takeMembership(now, c.group.Tick(now))
	c.takeConsensus(now, c.replica.Tick(now))
	c.tickFormation(now)
	c.tickVoters(now)
	c.tickSpread(now)
	c.tickProposals(now)
	c.tickStatuses(now)
	c.tickMembersSync(now)
	return c.take()
}

// HandleDatagram takes one opened datagram. One that cannot be read changes
// nothing.
func (c *Core) HandleDatagram(now time.Time, from netip.AddrPort, datagram []byte) Output {
	if len(datagram) == 0 {
		return Output{}
	}
	content := datagram[1:]
	switch datagramKind(datagram[0]) {
	case datagramMembership:
		c.takeMembership(now, c.group.Step(now, from, content))
	case datagramStatusQuery:
		c.answerStatus(from, content)
	case datagramStatusReply:
		c.takeStatus(content)
	}
	return c.take()
}

// HandleStream takes one message from an authenticated peer.
func (c *Core) HandleStream(now time.Time, message *PeerMessage) Output {
	from := message.From.Address
	switch {
	case message.Consensus != nil:
		c.takeConsensus(now, c.replica.Step(now, message.Consensus))
	case message.Pull != nil:
		if update, newer := c.store.Since(message.Pull.Have); newer {
			c.send(from, PeerMessage{Update: &update})
		}
	case message.Update != nil:
		c.takeUpdate(now, message.Update)
	case message.MembersRequest != nil:
		c.takeMembership(now, c.group.Merge(now, []membership.Member{message.MembersRequest.Self}))
		if lacking := c.group.Lacking(message.MembersRequest.Fingerprints); len(lacking) > 0 {
			c.send(from, PeerMessage{Members: &Members{Known: lacking}})
		}
	case message.Members != nil:
		c.takeMembership(now, c.group.Merge(now, message.Members.Known))
	case message.Proposal != nil:
		c.takeProposal(now, message.From, message.Proposal)
	case message.ProposalResult != nil:
		c.takeProposalResult(now, message.ProposalResult)
	case message.GrantRequest != nil:
		c.answerGrant(now, message.From)
	case message.Grant != nil:
		c.takeGrant(now, message.From, message.Grant)
	}
	return c.take()
}

func (c *Core) takeMembership(now time.Time, output membership.Output) {
	for _, datagram := range output.Datagrams {
		c.sendDatagram(datagram.To, datagramMembership, datagram.Bytes)
	}
	c.output.MembersChanged = c.output.MembersChanged || output.Changed
	for _, remote := range output.Digests {
		c.takeDigest(now, remote.From, remote.Digest)
	}
	for _, payload := range output.Broadcasts {
		c.takeBroadcast(now, payload)
	}
	for _, member := range output.Joined {
		if len(c.group.Live()) <= 2 {
			c.askMembers(member)
		}
	}
}

func (c *Core) tickMembersSync(now time.Time) {
	if c.group.HasBacklog() && c.nextSync.After(now.Add(2*c.config.BacklogSyncInterval)) {
		// Spread over an interval, or all would ask at once.
		spread := time.Duration(c.random.Int64N(int64(c.config.BacklogSyncInterval)))
		c.nextSync = now.Add(c.config.BacklogSyncInterval + spread)
	}
	if now.Before(c.nextSync) {
		return
	}
	c.nextSync = now.Add(c.config.MembersSyncInterval)
	if peer, found := c.randomPeer(); found {
		c.askMembers(peer)
	}
}

func (c *Core) askMembers(peer identity.Identity) {
	c.send(peer.Address, PeerMessage{MembersRequest: &MembersRequest{Self: c.group.Self(), Fingerprints: c.group.Fingerprints()}})
}

func (c *Core) randomPeer() (identity.Identity, bool) {
	live := c.group.Live()
	if len(live) < 2 {
		return identity.Identity{}, false
	}
	for {
		candidate := live[c.random.IntN(len(live))].Identity
		if candidate != c.self {
			return candidate, true
		}
	}
}

// takeConsensus carries the replica's output on.
func (c *Core) takeConsensus(now time.Time, output consensus.Output) {
	for index := range output.Messages {
		message := output.Messages[index]
		c.send(message.To.Address, PeerMessage{Consensus: &message})
	}
	if output.Installed != nil {
		version := dissemination.Version{Epoch: c.replica.Epoch(), Index: output.Installed.Index}
		installed, err := c.store.Install(version, output.Installed.Voters, output.Installed.Data)
		c.noteUnreadable(err)
		c.output.ConfigurationChanged = c.output.ConfigurationChanged || installed
	}
	if len(output.Committed) > 0 {
		c.applyCommitted(now, c.replica.Epoch(), output.Committed)
	}
	if c.replica.LogLength() > c.config.CompactAfter && c.store.Version().Epoch == c.replica.Epoch() {
		c.replica.Compact(c.store.Version().Index, c.store.State().Encode())
	}
	c.noteLeadership()
}

// applyCommitted puts entries in force, passes them on and answers proposals.
func (c *Core) applyCommitted(now time.Time, epoch consensus.Epoch, entries []consensus.Entry) {
	applied, err := c.store.Apply(epoch, entries)
	c.noteUnreadable(err)
	for index := range applied {
		c.group.Broadcast(encode(entryBroadcast{Epoch: epoch, Entry: applied[index].Entry}))
		c.output.ConfigurationChanged = true
		c.proposals.noteOutcome(&applied[index])
	}
	c.answerCommitted(entries)
	if len(applied) > 0 {
		c.refreshDigest()
		c.lease.caughtUp(now, c.store.Version())
	}
}

func (c *Core) noteUnreadable(err error) {
	if err != nil {
		c.event(EventUnreadable, err.Error())
	}
}

func (c *Core) noteLeadership() {
	if c.IsLeader() != c.wasLeader {
		c.wasLeader = c.IsLeader()
		kind := EventLeaderLost
		if c.wasLeader {
			kind = EventLeaderElected
		}
		c.event(kind, c.self.String())
	}
}

func decode[T any](encoded []byte) (T, bool) {
	var value T
	err := cbor.Unmarshal(encoded, &value)
	return value, err == nil
}
