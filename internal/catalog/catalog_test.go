package catalog

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func newService(name, address string) *Change {
	return &Change{
		RequestIdentifier: "create-" + name, Operation: CreateService,
		Service: Service{Name: name, Address: netip.MustParseAddrPort(address), Protocol: ProtocolQUIC, Priority: PriorityCritical},
	}
}

func newTarget(service, name, address string, now int64) *Change {
	return &Change{
		RequestIdentifier: fmt.Sprint("add-", service, name, now), Operation: AddTarget, Time: now,
		Service: Service{Name: service},
		Target:  Target{Name: name, Address: netip.MustParseAddrPort(address), Zone: "salt-a", Weight: 100},
	}
}

func mustApply(t *testing.T, state *State, change *Change) (*State, Outcome) {
	t.Helper()
	next, outcome := state.Apply(change)
	assert.Assert(t, outcome.Refusal == nil, "%v", outcome.Refusal)
	return next, outcome
}

func TestRepeatedRequestIsAppliedOnce(t *testing.T) {
	state, first := mustApply(t, &State{}, newService("roster", "192.0.2.1:443"))
	again, second := mustApply(t, state, newService("roster", "192.0.2.1:443"))
	assert.Assert(t, second.Repeated)
	assert.Equal(t, first.Number, second.Number)
	assert.Equal(t, again.Revision, state.Revision)
}

func TestNumbersAreNotReusedAndAddressesAreHeldDown(t *testing.T) {
	state, _ := mustApply(t, &State{}, newService("roster", "192.0.2.1:443"))
	state, _ = mustApply(t, state, newService("ledger", "192.0.2.2:443"))
	state, first := mustApply(t, state, newTarget("roster", "one", "10.0.0.1:443", 1000))
	state, _ = mustApply(t, state, &Change{
		RequestIdentifier: "retire", Operation: RetireTarget, Time: 1000,
		Service: Service{Name: "roster"}, Target: Target{Name: "one"},
	})
	_, outcome := state.Apply(newTarget("ledger", "two", "10.0.0.1:443", 1001))
	assert.ErrorContains(t, outcome.Refusal, "held down")
	_, second := mustApply(t, state, newTarget("ledger", "two", "10.0.0.1:443", 1301))
	assert.Assert(t, second.Number > first.Number)
}

func TestRefusalsNameFieldAndValue(t *testing.T) {
	state, _ := mustApply(t, &State{}, newService("roster", "192.0.2.1:443"))
	heavy := newTarget("roster", "one", "10.0.0.1:443", 1)
	heavy.Target.Weight = 1001
	unnamed := newService("Roster", "192.0.2.9:443")
	stale := newService("other", "192.0.2.3:443")
	stale.ExpectedRevision = 7
	for _, test := range []struct {
		change *Change
		text   string
	}{
		{heavy, "target.weight: 1001"},
		{unnamed, `service.name: "Roster"`},
		{stale, "options.expected_revision: is 7"},
		{newService("twin", "192.0.2.1:443"), `service.address: "192.0.2.1:443" is taken by service "roster"`},
		{newTarget("nobody", "one", "10.0.0.1:443", 1), `target.service: there is no service "nobody"`},
		{&Change{Operation: CreateService}, "options.request_id"},
	} {
		next, outcome := state.Apply(test.change)
		assert.ErrorContains(t, outcome.Refusal, test.text)
		assert.Equal(t, next, state, "a refused change must not modify the state")
	}
}

// TestInvariants checks after each random change that the revision grows by at most one, target
// states never decrease and non-retired targets have distinct addresses, and at the end that the
// state survives an encoding round trip.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := &State{}
		states := map[TargetNumber]TargetState{}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
			targetName := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "target")
			port := uint16(rapid.IntRange(1, 3).Draw(t, "port"))
			next, _ := state.Apply(&Change{
				RequestIdentifier: fmt.Sprint(rapid.IntRange(0, 60).Draw(t, "request")),
				Operation:         Operation(rapid.IntRange(1, 7).Draw(t, "operation")),
				Time:              int64(step * 100),
				Service:           Service{Name: name, Address: netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port), Protocol: ProtocolQUIC, Priority: PriorityBulk},
				Target:            Target{Name: targetName, Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port), Zone: "z", Weight: 1},
			})
			if next.Revision < state.Revision || next.Revision > state.Revision+1 {
				t.Fatalf("revision changed from %d to %d", state.Revision, next.Revision)
			}
			state = next
			addresses := map[netip.AddrPort]bool{}
			for _, target := range state.Targets {
				if target.State < states[target.Number] {
					t.Fatalf("state of target %d decreased from %d to %d", target.Number, states[target.Number], target.State)
				}
				states[target.Number] = target.State
				if target.State == TargetRetired {
					continue
				}
				if addresses[target.Address] {
					t.Fatalf("address %v is used by two targets", target.Address)
				}
				addresses[target.Address] = true
			}
		}
		decoded, err := Decode(state.Encode())
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded.Encode(), state.Encode())
	})
}
