package control

import (
	"net/netip"
	"time"

	"github.com/passtray/passtray/internal/identity"
	"github.com/passtray/passtray/internal/membership"
)

type pendingStatus struct {
	deadline time.Time
	members  []membership.Member
	reports  map[identity.Identity]StatusReport
}

// RequestStatus queries the status of every live daemon. The result is in Output.Statuses with the
// token, at the latest after StatusTimeout.
func (c *Core) RequestStatus(now time.Time, token uint64) Output {
	pending := &pendingStatus{
		deadline: now.Add(c.config.StatusTimeout),
		members:  c.group.Live(),
		reports:  map[identity.Identity]StatusReport{c.self: c.statusReport(token)},
	}
	c.statuses[token] = pending
	query := encode(statusQuery{Token: token})
	for _, member := range pending.members {
		if member.Identity != c.self {
			c.sendDatagram(member.Identity.Address, datagramStatusQuery, query)
		}
	}
	c.finishStatus(token, pending)
	return c.takeOutput()
}

func (c *Core) statusReport(token uint64) StatusReport {
	return StatusReport{
		Token: token, Identity: c.self, Version: c.store.Version(), Revision: c.store.State().Revision,
		Voter: c.IsVoter(), Leader: c.IsLeader(),
	}
}

func (c *Core) handleStatusQuery(from netip.AddrPort, content []byte) {
	if query, ok := decode[statusQuery](content); ok {
		c.sendDatagram(from, datagramStatusReply, encode(c.statusReport(query.Token)))
	}
}

func (c *Core) handleStatusReport(content []byte) {
	report, ok := decode[StatusReport](content)
	if !ok {
		return
	}
	pending := c.statuses[report.Token]
	if pending == nil {
		return
	}
	pending.reports[report.Identity] = report
	c.finishStatus(report.Token, pending)
}

// finishStatus emits the status if every member has responded.
func (c *Core) finishStatus(token uint64, pending *pendingStatus) {
	for _, member := range pending.members {
		if _, answered := pending.reports[member.Identity]; !answered {
			return
		}
	}
	c.emitStatus(token, pending)
}

func (c *Core) emitStatus(token uint64, pending *pendingStatus) {
	status := FleetStatus{Token: token, Members: pending.members}
	for _, member := range pending.members {
		if report, answered := pending.reports[member.Identity]; answered {
			status.Reports = append(status.Reports, report)
		}
	}
	delete(c.statuses, token)
	c.output.Statuses = append(c.output.Statuses, status)
}

func (c *Core) tickStatuses(now time.Time) {
	for token, pending := range c.statuses {
		if !now.Before(pending.deadline) {
			c.emitStatus(token, pending)
		}
	}
}
