package node

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/passtray/passtray/internal/catalog"
	"github.com/passtray/passtray/internal/control"
	"github.com/passtray/passtray/internal/platform"
	"github.com/passtray/passtray/internal/telemetry"
)

// readPlatform keeps the machine list up to date, and on the leader imports
// newer configuration documents. While the platform is down or stale, what was
// read last stands.
func (n *Node) readPlatform() {
	defer n.waiting.Done()
	reader := platform.NewReader(n.settings.Platform.URL)
	ticker := time.NewTicker(n.settings.Platform.Interval)
	defer ticker.Stop()
	for {
		n.readMachines(reader)
		n.importConfiguration(reader)
		select {
		case <-ticker.C:
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) readMachines(reader *platform.Reader) {
	list, err := reader.Machines(n.ctx)
	if err != nil {
		n.log.V(1).Info("machine list cannot be read", telemetry.FieldReason, err.Error())
		return
	}
	seeds := append([]netip.AddrPort(nil), n.settings.Peers...)
	for _, machine := range list.Machines {
		if machine.Control.IsValid() {
			seeds = append(seeds, machine.Control)
		}
	}
	n.enqueue(func(time.Time) { n.core.SetSeeds(unique(seeds)) })
}

func unique(addresses []netip.AddrPort) []netip.AddrPort {
	seen := map[netip.AddrPort]bool{}
	var kept []netip.AddrPort
	for _, address := range addresses {
		if !seen[address] {
			seen[address] = true
			kept = append(kept, address)
		}
	}
	return kept
}

// importConfiguration brings a newer document through the log. The leader does
// it; should two daemons think they lead, the request identifier makes it run
// once.
func (n *Node) importConfiguration(reader *platform.Reader) {
	held := n.view.Load()
	if held == nil || !held.leader {
		return
	}
	document, err := reader.Configuration(n.ctx)
	if err != nil || document.Revision == 0 {
		return
	}
	if held.state.Imported != nil && document.Revision <= held.state.Imported.Revision {
		return
	}
	result, err := n.Submit(n.ctx, catalog.Change{
		RequestIdentifier: fmt.Sprintf("platform-%d", document.Revision),
		Operation:         catalog.ImportDocument, Document: &document,
	})
	if err != nil || result.Status != control.ProposalDecided {
		return // The next reading tries again.
	}
	if refusal := result.Outcome.Refusal; refusal != nil {
		n.log.Info("platform document refused", telemetry.FieldReason, refusal.Error())
		return
	}
	n.log.Info("platform document imported", telemetry.FieldRevision, document.Revision)
	for _, skipped := range result.Outcome.Skipped {
		n.log.Info("part of the platform document skipped", telemetry.FieldReason, skipped)
	}
}
