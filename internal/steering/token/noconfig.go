package token

import "time"

// HasRoutes reports whether the table was built from a configuration. Without one it knows targets
// only and serves open flows; a missing route then means nothing.
func (t *Table) HasRoutes() bool { return t.routes != nil }

// SteerWithoutRoutes steers a packet other than the first of a flow, by its token alone, while no
// configuration is known. Packets with unknown tokens or for dead targets are held until there is
// one.
func (t *Table) SteerWithoutRoutes(now time.Time, packet *Packet) Decision {
	target := t.index.find(bindingOf(packet.Destination).token(packet.Token))
	if target == nil || target.isDead(now) {
		return Decision{Action: Hold, Reason: ReasonNotReady}
	}
	return Decision{Action: Forward, Target: target, boundToken: packet.Token}
}
