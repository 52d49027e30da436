package storenode

import (
	"net/netip"
	"time"

	"github.com/passtray/passtray/internal/coldshare"
)

// setSlowStartShares sets how many new flows per second this daemon may send to each target in slow
// start. The limit is zero until the other members are known, as the shares of all daemons together
// must stay within what the target can take.
func (n *Node) setSlowStartShares(now time.Time) {
	table := n.plane.table.Load()
	if table == nil {
		return
	}
	knowsMembers := n.fleet.KnowsMembers(now)
	var daemons []netip.AddrPort
	table.SetSlowStartShares(now, func(identifier uint64, rate float64) int {
		if !knowsMembers {
			return 0
		}
		if daemons == nil {
			for _, member := range n.fleet.Live() {
				daemons = append(daemons, member.Identity.Address)
			}
		}
		limit := rate*n.settings.Bounds.ColdExcess + n.settings.Bounds.ColdSlack
		return coldshare.Of(identifier, limit, n.settings.Control, daemons)
	})
}
