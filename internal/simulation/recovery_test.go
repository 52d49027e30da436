package simulation

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/control"
)

func (f *Fleet) submitAndWait(via int, request string, number int) control.ProposalResult {
	var final control.ProposalResult
	f.Submit(via, createService(request, number), func(result control.ProposalResult) { final = result })
	f.Clock.Advance(10 * time.Second)
	return final
}

func (f *Fleet) voters() []int {
	var voters []int
	for index, daemon := range f.Daemons {
		if daemon.Core != nil && daemon.Core.IsVoter() {
			voters = append(voters, index)
		}
	}
	return voters
}

// TestLostMajorityAcceptsNothingUntilRecovery crashes two of three voters permanently.
func TestLostMajorityAcceptsNothingUntilRecovery(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(10) {
		fleet := newTestFleet(seed, 7)
		fleet.StartAll()
		fleet.Clock.Advance(8 * time.Second)
		assert.Equal(t, fleet.submitAndWait(6, "before", 1).Status, control.ProposalDecided)
		voters := fleet.voters()
		assert.Equal(t, len(voters), 3, "seed %d", seed)
		fleet.Crash(voters[0])
		fleet.Crash(voters[1])
		assert.Equal(t, fleet.submitAndWait(voters[2], "during", 2).Status, control.ProposalUnknown, "seed %d", seed)
		fleet.Recover(voters[2])
		fleet.Clock.Advance(10 * time.Second)
		result := fleet.submitAndWait(voters[2], "after", 3)
		assert.Equal(t, result.Status, control.ProposalDecided, "seed %d", seed)
		assert.Equal(t, result.Epoch.Number, uint32(2))
		fleet.Start(voters[0])
		fleet.Start(voters[1])
		fleet.Clock.Advance(15 * time.Second)
		lowest, highest := fleet.RevisionRange()
		assert.Equal(t, lowest, highest, "seed %d: every daemon must follow the recovered group", seed)
		assert.Assert(t, highest >= 2)
		assert.Equal(t, len(fleet.voters()), 3, "seed %d", seed)
		fleet.assertNoViolations(t)
	}
}

// TestRollingReplacementOfAllDaemons restarts each daemon with a new identity and submits a change
// after each restart.
func TestRollingReplacementOfAllDaemons(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(10) {
		fleet := newTestFleet(seed, 7)
		fleet.StartAll()
		fleet.Clock.Advance(8 * time.Second)
		for index := range fleet.Daemons {
			if seed%2 == 0 {
				fleet.Leave(index)
				fleet.Clock.Advance(4 * time.Second)
			}
			fleet.Crash(index)
			fleet.Start(index)
			result := fleet.submitAndWait((index+3)%7, fmt.Sprint("request-", index), index)
			assert.Equal(t, result.Status, control.ProposalDecided, "seed %d, daemon %d", seed, index)
		}
		fleet.Clock.Advance(10 * time.Second)
		lowest, highest := fleet.RevisionRange()
		assert.Equal(t, lowest, uint64(7), "seed %d", seed)
		assert.Equal(t, highest, uint64(7), "seed %d", seed)
		fleet.assertNoViolations(t)
	}
}

// TestIsolatedDaemonLosesAndRegainsLease isolates one daemon from all others.
func TestIsolatedDaemonLosesAndRegainsLease(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(1, 7)
	fleet.StartAll()
	fleet.Clock.Advance(8 * time.Second)
	const isolated = 5
	fleet.Cut = func(from, to int) bool { return from == isolated || to == isolated }
	fleet.Clock.Advance(10 * time.Second)
	assert.Assert(t, fleet.Daemons[isolated].Core.HoldsLease(fleet.Clock.Now()))
	fleet.Clock.Advance(10 * time.Second)
	assert.Assert(t, !fleet.Daemons[isolated].Core.HoldsLease(fleet.Clock.Now()), "the lease did not expire after 15 s without a renewal")
	assert.Equal(t, fleet.submitAndWait(1, "while away", 1).Status, control.ProposalDecided)
	assert.Equal(t, fleet.Daemons[isolated].Core.State().Revision, uint64(0))
	fleet.Cut = nil
	fleet.Clock.Advance(25 * time.Second)
	assert.Assert(t, fleet.Daemons[isolated].Core.HoldsLease(fleet.Clock.Now()))
	assert.Equal(t, fleet.Daemons[isolated].Core.State().Revision, uint64(1))
	fleet.assertNoViolations(t)
}

// TestLeaseExpiresDuringPause checks that a daemon loses its lease during a long pause, even before it
// has processed any message, and regains it afterwards.
func TestLeaseExpiresDuringPause(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(2, 5)
	fleet.StartAll()
	fleet.Clock.Advance(8 * time.Second)
	fleet.Pause(3, 30*time.Second)
	fleet.Clock.Advance(29 * time.Second)
	assert.Assert(t, !fleet.Daemons[3].Core.HoldsLease(fleet.Clock.Now()))
	fleet.Clock.Advance(20 * time.Second)
	assert.Assert(t, fleet.Daemons[3].Core.HoldsLease(fleet.Clock.Now()))
	fleet.assertNoViolations(t)
}

// TestGroupHealsAfterLongPartition partitions seven daemons for an hour.
func TestGroupHealsAfterLongPartition(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(3, 7)
	fleet.StartAll()
	fleet.Clock.Advance(8 * time.Second)
	fleet.Cut = func(from, to int) bool { return (from < 3) != (to < 3) }
	fleet.Clock.Advance(time.Hour)
	decided := 0
	for index := range fleet.Daemons {
		if fleet.submitAndWait(index, fmt.Sprint("apart-", index), index).Status == control.ProposalDecided {
			decided++
		}
	}
	assert.Assert(t, decided == 3 || decided == 4, "%d daemons had a change accepted, want those of exactly one side", decided)
	fleet.Cut = nil
	fleet.Clock.Advance(40 * time.Second)
	lowest, highest := fleet.RevisionRange()
	assert.Equal(t, lowest, highest)
	assert.Equal(t, int(highest), decided)
	assert.Equal(t, fleet.countLeaders(), 1)
	for index, daemon := range fleet.Daemons {
		assert.Equal(t, len(daemon.Core.Live()), 7, "daemon %d", index)
	}
	fleet.assertNoViolations(t)
}

// TestReplacementWithEarlierClockJoins restarts a daemon whose previous clock was an hour
// fast, before and after the group detects its failure.
func TestReplacementWithEarlierClockJoins(t *testing.T) {
	t.Parallel()
	for _, wait := range []time.Duration{100 * time.Millisecond, 30 * time.Second} {
		fleet := newTestFleet(4, 5)
		const ahead = 2
		fleet.Daemons[ahead].clockAhead = uint64(time.Hour.Milliseconds()) << 20
		fleet.StartAll()
		fleet.Clock.Advance(8 * time.Second)
		fleet.Crash(ahead)
		fleet.Daemons[ahead].clockAhead = 0
		fleet.Clock.Advance(wait)
		fleet.Start(ahead)
		fleet.Clock.Advance(20 * time.Second)
		for index, daemon := range fleet.Daemons {
			assert.Equal(t, len(daemon.Core.Live()), 5, "after %s, daemon %d", wait, index)
		}
		assert.Equal(t, fleet.submitAndWait(ahead, "after", 1).Status, control.ProposalDecided)
		fleet.assertNoViolations(t)
	}
}
