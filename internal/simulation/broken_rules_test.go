package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/passtray/passtray/internal/consensus"
	"github.com/passtray/passtray/internal/control"
	"github.com/passtray/passtray/internal/identity"
)

// voteForAll breaks the rules that a replica votes once per term, and only for a candidate whose
// log is at least as up to date as its own (Raft dissertation, sections 3.4 and 3.6.1).
func voteForAll(message *control.PeerMessage) {
	if reply := message.Consensus; reply != nil && (reply.Kind == consensus.VoteReply || reply.Kind == consensus.PreVoteReply) {
		reply.Accepted = true
	}
}

// acknowledgeUnseen breaks the rule that a follower acknowledges only entries in its log (section
// 3.5): half of the append requests lose their entries after receipt and are acknowledged
// nevertheless.
func acknowledgeUnseen(fleet *Fleet) {
	received := map[identity.Identity]uint64{}
	fleet.Tamper = func(message *control.PeerMessage) {
		switch content := message.Consensus; {
		case content == nil:
		case content.Kind == consensus.AppendRequest && len(content.Entries) > 0:
			received[content.To] = max(received[content.To], content.LogIndex+uint64(len(content.Entries)))
			if fleet.Random.IntN(2) == 0 {
				content.Entries = nil
			}
		case content.Kind == consensus.AppendReply && content.Accepted:
			content.LogIndex = max(content.LogIndex, received[content.From])
		}
	}
}

// findViolation runs schedules until a check fails and returns its finding.
func findViolation(t *testing.T, breakRule func(*Fleet)) string {
	t.Helper()
	for seed := range uint64(60) {
		if finding := runBroken(seed, breakRule); finding != "" {
			return fmt.Sprintf("seed %d: %s", seed, finding)
		}
	}
	return ""
}

func runBroken(seed uint64, breakRule func(*Fleet)) (finding string) {
	defer func() {
		// A failed assertion in the core panics, which counts as a finding.
		if recovered := recover(); recovered != nil {
			finding = fmt.Sprint("panic: ", recovered)
		}
	}()
	fleet := newTestFleet(seed, 5)
	breakRule(fleet)
	fleet.StartAll()
	fleet.Clock.Advance(8 * time.Second)
	crashOften(fleet, 40*time.Second)
	history := runHistory(fleet, 45*time.Second)
	if len(fleet.Violations) > 0 {
		return fleet.Violations[0]
	}
	if !porcupine.CheckOperations(casModel, history) {
		return "the history is not linearizable"
	}
	return ""
}

// crashOften partitions the fleet or kills up to two random daemons, which may include the leader, at
// short intervals. Killed daemons start again at the next interval.
func crashOften(fleet *Fleet, duration time.Duration) {
	end := fleet.Clock.Now().Add(duration)
	var next func()
	next = func() {
		fleet.Cut = nil
		if fleet.Clock.Now().After(end) {
			return
		}
		for index, daemon := range fleet.Daemons {
			if daemon.Core == nil {
				fleet.Start(index)
			}
		}
		if fleet.Random.IntN(2) == 0 {
			side := fleet.Random.IntN(len(fleet.Daemons))
			fleet.Cut = func(from, to int) bool { return (from <= side) != (to <= side) }
		} else {
			for range 2 {
				fleet.Crash(fleet.Random.IntN(len(fleet.Daemons)))
			}
		}
		fleet.Clock.After(time.Second+time.Duration(fleet.Random.Int64N(int64(3*time.Second))), next)
	}
	next()
}

func TestChecksDetectEachBrokenRule(t *testing.T) {
	t.Parallel()
	for name, breakRule := range map[string]func(*Fleet){
		"votes for every candidate":          func(fleet *Fleet) { fleet.Tamper = voteForAll },
		"acknowledges entries that it lacks": acknowledgeUnseen,
	} {
		t.Run(name, func(t *testing.T) {
			finding := findViolation(t, breakRule)
			assert.Assert(t, finding != "", "60 schedules with a broken rule passed every check")
			t.Log(finding)
		})
	}
}

func TestSchedulesPassWithoutBrokenRules(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(20) {
		assert.Equal(t, runBroken(seed, func(*Fleet) {}), "", "seed %d", seed)
	}
}

// restartVoterAfterCommit runs the schedule in which a voter that lost its log is harmful: the
// leader and one follower commit a change, that follower restarts, the leader dies, and the third
// replica, which was cut off, returns. It returns the number of accepted changes and the
// violations.
func restartVoterAfterCommit(seed uint64, keepIdentity bool) (int, []string) {
	fleet := newTestFleet(seed, 3)
	fleet.KeepIdentity = keepIdentity
	fleet.StartAll()
	fleet.Clock.Advance(8 * time.Second)
	leader := 0
	for index, daemon := range fleet.Daemons {
		if daemon.Core.IsLeader() {
			leader = index
		}
	}
	follower, isolated := (leader+1)%3, (leader+2)%3
	accepted := 0
	onResult := func(result control.ProposalResult) {
		if result.Status == control.ProposalDecided {
			accepted++
		}
	}
	fleet.Cut = func(from, to int) bool { return from == isolated || to == isolated }
	fleet.Submit(leader, createService("one", 1), onResult)
	fleet.Clock.Advance(100 * time.Millisecond)
	fleet.Crash(follower)
	fleet.Start(follower)
	// Heartbeats bring the restarted follower back into the group.
	fleet.Clock.Advance(500 * time.Millisecond)
	fleet.Cut = nil
	fleet.Crash(leader)
	fleet.Clock.Advance(8 * time.Second)
	fleet.Submit(isolated, createService("two", 2), onResult)
	fleet.Clock.Advance(12 * time.Second)
	return accepted, fleet.Violations
}

func TestRestartedVoterMustNotKeepItsIdentity(t *testing.T) {
	t.Parallel()
	found := 0
	for seed := range seedCount(20) {
		if _, violations := restartVoterAfterCommit(seed, true); len(violations) > 0 {
			found++
		}
		accepted, violations := restartVoterAfterCommit(seed, false)
		assert.Equal(t, accepted, 1, "seed %d: with two of three voters gone, nothing more may be accepted", seed)
		assert.Equal(t, len(violations), 0, "seed %d: %v", seed, violations)
	}
	assert.Assert(t, found > 0, "no schedule with the old identity violated an invariant, so this test is ineffective")
}
