package control

import (
	"time"

	"github.com/passtray/passtray/internal/consensus"
	"github.com/passtray/passtray/internal/dissemination"
	"github.com/passtray/passtray/internal/identity"
)

// formation is how a fleet that has no group yet gets exactly one. The live
// daemon with the lowest address asks all others. Each daemon grants one founder
// only, and only after it has itself looked for a group for a while. The founder
// needs a majority of the machine list. Two founders would need two majorities,
// and so one daemon that granted twice; a daemon that restarts forgets its
// grant, but then looks for a group longer than the first founder needs to
// become known.
type formation struct {
	granted     identity.Identity
	grants      map[identity.Identity]bool
	nextRequest time.Time
}

const firstEpochNumber = 1

func (c *Core) isFormed() bool { return !c.store.Version().Epoch.IsZero() }

func (c *Core) hasLookedLongEnough(now time.Time) bool {
	return now.Sub(c.started) >= c.config.FormationDelay
}

// isNaturalFounder reports whether no live daemon has a lower address.
func (c *Core) isNaturalFounder(candidate identity.Identity) bool {
	return c.group.Live()[0].Identity == candidate
}

func (c *Core) tickFormation(now time.Time) {
	if c.isFormed() || !c.hasLookedLongEnough(now) || now.Before(c.formation.nextRequest) {
		return
	}
	if len(c.group.Live()) == 0 || !c.isNaturalFounder(c.self) || !c.mayGrant(now, c.self) {
		return
	}
	c.formation.nextRequest = now.Add(c.config.FormationRetry)
	c.formation.granted = c.self
	c.formation.grants = map[identity.Identity]bool{c.self: true}
	for _, member := range c.group.Live() {
		if member.Identity != c.self {
			c.send(member.Identity.Address, PeerMessage{GrantRequest: &GrantRequest{}})
		}
	}
	c.foundIfGranted(now)
}

// mayGrant reports whether a founder may have this daemon's grant. A grant to a
// daemon that has died since is void: it can have founded nothing that a live
// daemon would not know of by now.
func (c *Core) mayGrant(now time.Time, founder identity.Identity) bool {
	if c.isFormed() || !c.hasLookedLongEnough(now) || !c.isNaturalFounder(founder) {
		return false
	}
	granted := c.formation.granted
	return granted.IsZero() || granted == founder || !c.group.IsLive(granted)
}

func (c *Core) answerGrant(now time.Time, founder identity.Identity) {
	granted := len(c.group.Live()) > 0 && c.mayGrant(now, founder)
	if granted {
		c.formation.granted = founder
	}
	c.send(founder.Address, PeerMessage{Grant: &Grant{Granted: granted}})
}

func (c *Core) takeGrant(now time.Time, from identity.Identity, grant *Grant) {
	if c.isFormed() || !grant.Granted || c.formation.granted != c.self {
		return
	}
	c.formation.grants[from] = true
	c.foundIfGranted(now)
}

func (c *Core) foundIfGranted(now time.Time) {
	if len(c.formation.grants) <= c.fleetSize()/2 {
		return
	}
	c.found(now, consensus.Epoch{Number: firstEpochNumber, Group: c.random.Uint64()}, EventGroupFounded)
}

// fleetSize is the number of machines that exist as far as is known: those
// listed and those met.
func (c *Core) fleetSize() int {
	size := len(c.group.Live())
	for _, seed := range c.seeds {
		known := false
		for _, member := range c.group.Live() {
			known = known || member.Identity.Address == seed
		}
		if !known {
			size++
		}
	}
	return size
}

// found starts a group of this daemon alone, with the configuration in force on
// it; tickVoters then adds the others one at a time.
func (c *Core) found(now time.Time, epoch consensus.Epoch, kind EventKind) {
	version := dissemination.Version{Epoch: epoch, Index: c.store.Version().Index + 1}
	state := c.store.State().Encode()
	if _, err := c.store.Install(version, []identity.Identity{c.self}, state); err != nil {
		c.noteUnreadable(err)
		return
	}
	c.event(kind, c.self.String())
	c.output.ConfigurationChanged = true
	c.takeConsensus(now, c.replica.Found(now, epoch, version.Index, state))
}

// Recover founds the group anew from the configuration in force here, under a
// higher epoch, after a majority of its voters was lost for good. What was
// accepted and had not reached this daemon is lost. It is an operator's
// decision: were the old majority alive, this would be a second group.
func (c *Core) Recover(now time.Time) Output {
	epoch := consensus.Epoch{Number: c.store.Version().Epoch.Number + 1, Group: c.random.Uint64()}
	c.found(now, epoch, EventGroupRecovered)
	return c.take()
}
