package catalog

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

func documentOf(revision uint64, weights ...uint32) *Document {
	document := &Document{Revision: revision, Services: []DocumentService{{
		Name: "roster", Address: netip.MustParseAddrPort("192.0.2.1:443"), Protocol: ProtocolQUIC, Priority: PriorityCritical,
	}}}
	for index, weight := range weights {
		document.Targets = append(document.Targets, DocumentTarget{
			Service: "roster", Name: fmt.Sprint("target-", index), Zone: "salt-a", Weight: weight,
			Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+index)),
		})
	}
	return document
}

func importOf(document *Document) *Change {
	return &Change{RequestIdentifier: fmt.Sprint("platform-", document.Revision), Operation: ImportDocument, Document: document}
}

func TestAnImportChangesWhatThePlatformChangedAndNothingElse(t *testing.T) {
	state, _ := accepted(t, &State{}, importOf(documentOf(1, 100, 100, 100)))
	assert.Equal(t, len(state.Targets), 3)
	weigh := func(name string, weight uint32) *Change {
		return &Change{
			RequestIdentifier: fmt.Sprint(name, weight), Operation: SetTargetWeight,
			Service: Service{Name: "roster"}, Target: Target{Name: name, Weight: weight},
		}
	}
	state, _ = accepted(t, state, weigh("target-0", 7))
	state, _ = accepted(t, state, importOf(documentOf(2, 100, 55)))
	assert.Equal(t, state.Targets[0].Weight, uint32(7), "the operators' weight was taken back")
	assert.Equal(t, state.Targets[1].Weight, uint32(55))
	assert.Equal(t, state.Targets[2].State, TargetDraining, "a target no longer listed is drained")
}

func TestAnOldDocumentIsRefused(t *testing.T) {
	state, _ := accepted(t, &State{}, importOf(documentOf(5, 100)))
	old := importOf(documentOf(4, 1, 1))
	next, outcome := state.Apply(old)
	assert.ErrorContains(t, outcome.Refusal, "document.revision: is 4")
	assert.Equal(t, next, state)
}

func TestAnImportSkipsWhatCannotBeAndDoesTheRest(t *testing.T) {
	document := documentOf(1, 100, 5000)
	state, outcome := accepted(t, &State{}, importOf(document))
	assert.Equal(t, len(state.Targets), 1)
	assert.Equal(t, len(outcome.Skipped), 1)
	assert.ErrorContains(t, fmt.Errorf("%s", outcome.Skipped[0]), "target.weight: 5000")
}
