package control

import (
	"maps"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/consensus"
	"github.com/passtray/passtray/internal/dissemination"
	"github.com/passtray/passtray/internal/identity"
)

// submission is a change that was submitted to this daemon and has no result yet.
type submission struct {
	change   catalog.Change
	deadline time.Time
	nextSend time.Time
}

// inFlight is a proposal that this daemon, as leader, has appended to the log.
type inFlight struct {
	from  identity.Identity
	token uint64
	term  uint64
}

// proposals sends submitted changes to the leader and results back. Retransmissions are safe, since a
// change is applied once per request identifier.
type proposals struct {
	// submitted is by token, inFlight and outcomes by log index.
	submitted map[uint64]*submission
	inFlight  map[uint64][]inFlight
	outcomes  map[uint64]catalog.Outcome
}

func (p *proposals) init() {
	p.submitted = map[uint64]*submission{}
	p.inFlight = map[uint64][]inFlight{}
	p.outcomes = map[uint64]catalog.Outcome{}
}

// recordOutcome stores the outcome of an entry with a proposal in flight.
func (p *proposals) recordOutcome(applied *dissemination.Applied) {
	if len(p.inFlight[applied.Entry.Index]) > 0 {
		p.outcomes[applied.Entry.Index] = applied.Outcome
	}
}

// Submit proposes a change. Its result is in Output.Results with the token, at the latest after
// ProposalTimeout.
func (c *Core) Submit(now time.Time, token uint64, change *catalog.Change) Output {
	c.proposals.submitted[token] = &submission{change: *change, deadline: now.Add(c.config.ProposalTimeout)}
	c.tickProposals(now)
	return c.takeOutput()
}

func (c *Core) tickProposals(now time.Time) {
	for _, token := range slices.Sorted(maps.Keys(c.proposals.submitted)) {
		pending := c.proposals.submitted[token]
		if !now.Before(pending.deadline) {
			c.finishProposal(ProposalResult{Token: token, Status: ProposalUnknown})
			continue
		}
		if now.Before(pending.nextSend) {
			continue
		}
		pending.nextSend = now.Add(c.config.ProposalRetry)
		proposal := &Proposal{Token: token, Change: pending.change}
		if c.IsLeader() {
			c.handleProposal(now, c.self, proposal)
		} else if leader := c.guessLeader(); !leader.IsZero() {
			c.send(leader.Address, PeerMessage{Proposal: proposal})
		}
	}
}

// guessLeader returns the Raft leader if this daemon is a voter, else the issuer of the latest lease
// renewal, else a random voter.
func (c *Core) guessLeader() identity.Identity {
	if leader := c.replica.Leader(); !leader.IsZero() && leader != c.self && c.IsVoter() {
		return leader
	}
	if leader := c.lease.leader; !leader.IsZero() && leader != c.self && c.group.IsLive(leader) {
		return leader
	}
	others := without(c.store.Voters(), c.self)
	if len(others) == 0 {
		return identity.Identity{}
	}
	return others[c.random.IntN(len(others))]
}

func (c *Core) finishProposal(result ProposalResult) {
	if c.proposals.submitted[result.Token] == nil {
		return
	}
	delete(c.proposals.submitted, result.Token)
	c.output.Results = append(c.output.Results, result)
}

// reply sends a proposal's result to the daemon it came from, possibly this one.
func (c *Core) reply(now time.Time, to identity.Identity, result ProposalResult) {
	result.Epoch = c.store.Version().Epoch
	if to == c.self {
		c.handleProposalResult(now, &result)
		return
	}
	c.send(to.Address, PeerMessage{ProposalResult: &result})
}

func (c *Core) handleProposal(now time.Time, from identity.Identity, proposal *Proposal) {
	result := ProposalResult{Token: proposal.Token}
	if !c.IsLeader() {
		result.Status = ProposalNotLeader
		result.Leader = c.replica.Leader()
		c.reply(now, from, result)
		return
	}
	if !c.hasEnoughVoters() {
		result.Status = ProposalNotReady
		c.reply(now, from, result)
		return
	}
	if _, outcome := c.store.State().Apply(&proposal.Change); outcome.Refusal != nil && outcome.Refusal.Code == catalog.RefusedInvalid {
		// An invalid change is refused without a log entry.
		result.Status = ProposalDecided
		result.Outcome = outcome
		c.reply(now, from, result)
		return
	}
	c.append(now, from, proposal)
}

func (c *Core) append(now time.Time, from identity.Identity, proposal *Proposal) {
	_, last := c.replica.LastEntry()
	pending := inFlight{from: from, token: proposal.Token, term: c.replica.Term()}
	c.proposals.inFlight[last+1] = append(c.proposals.inFlight[last+1], pending)
	_, output, err := c.replica.Propose(now, encode(proposal.Change))
	if err != nil {
		delete(c.proposals.inFlight, last+1)
		c.reply(now, from, ProposalResult{Token: proposal.Token, Status: ProposalNotLeader})
		return
	}
	c.handleConsensusOutput(now, output)
}

// answerCommitted answers the proposals in flight at the committed indexes: with the outcome if the
// committed entry is theirs, else with ProposalNotLeader, as another leader's entry replaced it.
func (c *Core) answerCommitted(entries []consensus.Entry) {
	for _, entry := range entries {
		pending := c.proposals.inFlight[entry.Index]
		if len(pending) == 0 {
			continue
		}
		outcome, applied := c.proposals.outcomes[entry.Index]
		delete(c.proposals.inFlight, entry.Index)
		delete(c.proposals.outcomes, entry.Index)
		for _, proposal := range pending {
			result := ProposalResult{Token: proposal.token, Status: ProposalNotLeader, Epoch: c.store.Version().Epoch}
			if applied && proposal.term == entry.Term {
				result.Status = ProposalDecided
				result.Outcome = outcome
			}
			if proposal.from == c.self {
				c.finishIfDecided(&result)
				continue
			}
			c.send(proposal.from.Address, PeerMessage{ProposalResult: &result})
		}
	}
}

func (c *Core) finishIfDecided(result *ProposalResult) {
	if result.Status == ProposalDecided {
		c.finishProposal(*result)
	}
}

func (c *Core) handleProposalResult(now time.Time, result *ProposalResult) {
	pending := c.proposals.submitted[result.Token]
	if pending == nil {
		return
	}
	if result.Status == ProposalNotLeader && !result.Leader.IsZero() && result.Leader != c.self {
		pending.nextSend = now.Add(c.config.ProposalRetry)
		c.send(result.Leader.Address, PeerMessage{Proposal: &Proposal{Token: result.Token, Change: pending.change}})
		return
	}
	c.finishIfDecided(result)
}
