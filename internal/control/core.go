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

// Config holds the control core's timings and bounds.
type Config struct {
	Membership membership.Config
	Consensus  consensus.Config
	// Voters is the number of Raft voters: 1, 3 or 5.
	Voters int
	// FormationDelay is how long a daemon searches for an existing group before it grants a founder.
	// Longer delays make two groups less likely when machines start at different times.
	FormationDelay time.Duration
	// FormationRetry is the period of a founder's grant requests.
	FormationRetry time.Duration
	// PullDelay is how long a daemon that is behind waits for gossip before it pulls, PullTimeout how
	// long it waits for the answer before it pulls again.
	PullDelay   time.Duration
	PullTimeout time.Duration
	// RenewalInterval is how often the leader issues a lease renewal, LeaseDuration how long a
	// lease is valid. LeaseDuration must exceed several gossip rounds, or daemons reached late lose
	// their leases without a failure.
	RenewalInterval time.Duration
	LeaseDuration   time.Duration
	// ProposalRetry is the retransmission interval of an unanswered proposal, ProposalTimeout the time
	// after which its outcome is reported as unknown.
	ProposalRetry   time.Duration
	ProposalTimeout time.Duration
	// StatusTimeout is how long RequestStatus waits for responses.
	StatusTimeout time.Duration
	// CompactAfter is the log length above which a voter compacts its log.
	CompactAfter int
	// MembersSyncInterval is the period of anti-entropy: a comparison of the full member list with a
	// random peer, which repairs gossip losses.
	MembersSyncInterval time.Duration
	// BacklogSyncInterval replaces MembersSyncInterval while updates exceed what gossip can carry, as
	// when a region starts.
	BacklogSyncInterval time.Duration
}

// DefaultLANConfig is for round-trip times of a few milliseconds.
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

// Core is one daemon's control plane. It is not safe for concurrent use.
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
	puller    puller
	lease     lease
	proposals proposals
	statuses  map[uint64]*pendingStatus
	nextSync  time.Time
	formedAt  time.Time
	wasLeader bool

	output Output
}

// NewCore returns the core of a daemon that starts now. All randomness comes from random.
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

func (c *Core) Self() identity.Identity { return c.self }

// State returns the active configuration.
func (c *Core) State() *catalog.State { return c.store.State() }

// Version returns the version of the active configuration.
func (c *Core) Version() dissemination.Version { return c.store.Version() }

// IsCaughtUp reports whether this daemon has held a lease since its start, and so has everything that
// was committed when that lease was issued, or has been in a group for longer than LeaseDuration
// without one, in which case the group probably has no leader. Before that its configuration may be
// arbitrarily old.
func (c *Core) IsCaughtUp(now time.Time) bool {
	if !c.isFormed() {
		return false
	}
	if !c.lease.renewedAt.IsZero() {
		return true
	}
	return !c.formedAt.IsZero() && now.Sub(c.formedAt) > c.config.LeaseDuration
}

// Live returns the alive and suspected daemons, ordered by identity.
func (c *Core) Live() []membership.Member { return c.group.Live() }

// Known returns every known daemon, including those that left or were declared dead recently.
func (c *Core) Known() []membership.Member { return c.group.All() }

// IsLeader reports whether this daemon is the Raft leader.
func (c *Core) IsLeader() bool { return c.replica.Role() == consensus.Leader }

// Replica returns the Raft replica for read access, for status and checks.
func (c *Core) Replica() *consensus.Replica { return c.replica }

// SetSeeds replaces the machine list: control addresses at which daemons may run.
func (c *Core) SetSeeds(seeds []netip.AddrPort) {
	c.seeds = slices.Clone(seeds)
	c.group.SetSeeds(seeds)
}

// Leave announces that this daemon leaves. Keep calling Tick and the handlers: it votes until the
// leader has replaced it as a voter.
func (c *Core) Leave(now time.Time) Output {
	c.handleMembershipOutput(now, c.group.Leave(now))
	return c.takeOutput()
}

func (c *Core) takeOutput() Output {
	output := c.output
	c.output = Output{}
	return output
}

func (c *Core) addEvent(kind EventKind, detail string) {
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

// Tick runs all timers. Call it about every 50 ms.
func (c *Core) Tick(now time.Time) Output {
	if c.formedAt.IsZero() && c.isFormed() {
		c.formedAt = now
	}
	c.tickLease(now)
	c.handleMembershipOutput(now, c.group.Tick(now))
	c.handleConsensusOutput(now, c.replica.Tick(now))
	c.tickFormation(now)
	c.tickVoters(now)
	c.tickPull(now)
	c.tickProposals(now)
	c.tickStatuses(now)
	c.tickMembersSync(now)
	return c.takeOutput()
}

// HandleDatagram handles one decrypted datagram. It ignores invalid ones.
func (c *Core) HandleDatagram(now time.Time, from netip.AddrPort, datagram []byte) Output {
	if len(datagram) == 0 {
		return Output{}
	}
	content := datagram[1:]
	switch datagramKind(datagram[0]) {
	case datagramMembership:
		c.handleMembershipOutput(now, c.group.Step(now, from, content))
	case datagramStatusQuery:
		c.handleStatusQuery(from, content)
	case datagramStatusReply:
		c.handleStatusReport(content)
	}
	return c.takeOutput()
}

// HandleStream handles one message from an authenticated peer.
func (c *Core) HandleStream(now time.Time, message *PeerMessage) Output {
	from := message.From.Address
	switch {
	case message.Consensus != nil:
		c.handleConsensusOutput(now, c.replica.Step(now, message.Consensus))
	case message.Pull != nil:
		if update, newer := c.store.UpdateSince(message.Pull.Have); newer {
			c.send(from, PeerMessage{Update: &update})
		}
	case message.Update != nil:
		c.handleUpdate(now, message.Update)
	case message.MembersRequest != nil:
		c.handleMembershipOutput(now, c.group.Merge(now, []membership.Member{message.MembersRequest.Self}))
		if lacking := c.group.MissingFrom(message.MembersRequest.Fingerprints); len(lacking) > 0 {
			c.send(from, PeerMessage{Members: &Members{Known: lacking}})
		}
	case message.Members != nil:
		c.handleMembershipOutput(now, c.group.Merge(now, message.Members.Known))
	case message.Proposal != nil:
		c.handleProposal(now, message.From, message.Proposal)
	case message.ProposalResult != nil:
		c.handleProposalResult(now, message.ProposalResult)
	case message.GrantRequest != nil:
		c.handleGrantRequest(now, message.From)
	case message.Grant != nil:
		c.handleGrant(now, message.From, message.Grant)
	}
	return c.takeOutput()
}

func (c *Core) handleMembershipOutput(now time.Time, output membership.Output) {
	for _, datagram := range output.Datagrams {
		c.sendDatagram(datagram.To, datagramMembership, datagram.Bytes)
	}
	c.output.MembersChanged = c.output.MembersChanged || output.Changed
	for _, remote := range output.Digests {
		c.handleDigest(now, remote.From, remote.Digest)
	}
	for _, payload := range output.Broadcasts {
		c.handleBroadcast(now, payload)
	}
	for _, member := range output.Joined {
		if len(c.group.Live()) <= 2 {
			c.requestMembers(member)
		}
	}
}

func (c *Core) tickMembersSync(now time.Time) {
	if c.group.HasBacklog() && c.nextSync.After(now.Add(2*c.config.BacklogSyncInterval)) {
		// Add jitter, or all daemons would send their requests at once.
		jitter := time.Duration(c.random.Int64N(int64(c.config.BacklogSyncInterval)))
		c.nextSync = now.Add(c.config.BacklogSyncInterval + jitter)
	}
	if now.Before(c.nextSync) {
		return
	}
	c.nextSync = now.Add(c.config.MembersSyncInterval)
	if peer, found := c.randomPeer(); found {
		c.requestMembers(peer)
	}
}

func (c *Core) requestMembers(peer identity.Identity) {
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

// handleConsensusOutput sends the replica's messages and applies its snapshot and committed entries.
func (c *Core) handleConsensusOutput(now time.Time, output consensus.Output) {
	for index := range output.Messages {
		message := output.Messages[index]
		c.send(message.To.Address, PeerMessage{Consensus: &message})
	}
	if output.Installed != nil {
		version := dissemination.Version{Epoch: c.replica.Epoch(), Index: output.Installed.Index}
		installed, err := c.store.Install(version, output.Installed.Voters, output.Installed.Data)
		c.reportInvalid(err)
		c.output.ConfigurationChanged = c.output.ConfigurationChanged || installed
	}
	if len(output.Committed) > 0 {
		c.applyCommitted(now, c.replica.Epoch(), output.Committed)
	}
	if c.replica.LogLength() > c.config.CompactAfter && c.store.Version().Epoch == c.replica.Epoch() {
		c.replica.Compact(c.store.Version().Index, c.store.State().Encode())
	}
	c.reportLeadership()
}

// applyCommitted applies committed entries, gossips them and answers their proposals.
func (c *Core) applyCommitted(now time.Time, epoch consensus.Epoch, entries []consensus.Entry) {
	applied, err := c.store.Apply(epoch, entries)
	c.reportInvalid(err)
	for index := range applied {
		c.group.Broadcast(encode(entryBroadcast{Epoch: epoch, Entry: applied[index].Entry}))
		c.output.ConfigurationChanged = true
		c.proposals.recordOutcome(&applied[index])
	}
	c.answerCommitted(entries)
	if len(applied) > 0 {
		c.refreshDigest()
		c.lease.applyPending(now, c.store.Version())
	}
}

func (c *Core) reportInvalid(err error) {
	if err != nil {
		c.addEvent(EventInvalidUpdate, err.Error())
	}
}

func (c *Core) reportLeadership() {
	if c.IsLeader() != c.wasLeader {
		c.wasLeader = c.IsLeader()
		kind := EventLeaderLost
		if c.wasLeader {
			kind = EventLeaderElected
		}
		c.addEvent(kind, c.self.String())
	}
}

func decode[T any](encoded []byte) (T, bool) {
	var value T
	err := cbor.Unmarshal(encoded, &value)
	return value, err == nil
}
