package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/passtray/passtray/internal/steering"
)

// collector reads the counters when it is asked.
type collector struct {
	node *Node

	packets  *prometheus.Desc
	drops    *prometheus.Desc
	pins     *prometheus.Desc
	control  *prometheus.Desc
	refused  *prometheus.Desc
	members  *prometheus.Desc
	revision *prometheus.Desc
	epoch    *prometheus.Desc
	lease    *prometheus.Desc
	voter    *prometheus.Desc
	leader   *prometheus.Desc
	draining *prometheus.Desc
}

func newCollector(node *Node) *collector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("passtray_"+name, help, labels, nil)
	}
	return &collector{
		node:     node,
		packets:  describe("packets_total", "Datagrams by what was done with them.", "action"),
		drops:    describe("dropped_packets_total", "Datagrams dropped, by reason.", "reason"),
		pins:     describe("pins", "Flows remembered, by table.", "table"),
		control:  describe("control_bytes_total", "Control bytes sent, by transport.", "transport"),
		refused:  describe("control_refused_total", "Control messages without the fleet's key or certificate."),
		members:  describe("members", "Live daemons in this daemon's view."),
		revision: describe("configuration_revision", "Revision in force."),
		epoch:    describe("configuration_epoch", "Epoch in force; grows only by a forced recovery."),
		lease:    describe("lease_seconds", "Time until the lease is over; negative if it is."),
		voter:    describe("voter", "1 if this daemon votes on the configuration."),
		leader:   describe("leader", "1 if this daemon leads the voters."),
		draining: describe("draining", "1 after a planned stop was asked for."),
	}
}

// Describe serves the registry.
func (c *collector) Describe(channel chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, channel)
}

// Collect serves the registry.
func (c *collector) Collect(channel chan<- prometheus.Metric) {
	counter := func(description *prometheus.Desc, value uint64, labels ...string) {
		channel <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), labels...)
	}
	gauge := func(description *prometheus.Desc, value float64, labels ...string) {
		channel <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
	}
	counters := c.node.plane.counters
	counter(c.packets, counters.Received.Load(), "received")
	counter(c.packets, counters.Sent.Load(), "sent")
	counter(c.packets, counters.SendError.Load(), "send_error")
	counter(c.packets, counters.Oversized.Load(), "oversized")
	counter(c.packets, counters.routed.Load(), "routed")
	counter(c.packets, counters.handedOver.Load(), "handed_over")
	counter(c.packets, counters.picked.Load(), "picked")
	counter(c.packets, counters.steered.Load(), "steered_again")
	counter(c.packets, counters.resent.Load(), "resent_handover")
	counter(c.packets, counters.refused.Load(), "refused")
	counter(c.packets, counters.returned.Load(), "returned")
	counter(c.packets, counters.relayed.Load(), "relayed")
	counter(c.packets, counters.replicated.Load(), "replicated_pin")
	counter(c.packets, counters.probes.Load(), "probes")
	for reason := steering.ReasonNone + 1; reason < steering.ReasonCount; reason++ {
		counter(c.drops, counters.dropped[reason].Load(), reason.String())
	}
	gauge(c.pins, float64(c.node.plane.pins.Len()), "handshake")
	gauge(c.pins, float64(c.node.plane.udpFlows.Len()), "udp")
	traffic := c.node.transport.Traffic()
	counter(c.control, traffic.DatagramBytesSent.Load(), "datagram")
	counter(c.control, traffic.StreamBytesSent.Load(), "stream")
	counter(c.refused, traffic.Refused.Load())
	c.collectView(gauge)
}

func (c *collector) collectView(gauge func(*prometheus.Desc, float64, ...string)) {
	gauge(c.lease, time.Until(time.Unix(0, c.node.leaseEnds.Load())).Seconds())
	gauge(c.draining, boolean(c.node.draining.Load()))
	held := c.node.view.Load()
	if held == nil {
		return
	}
	gauge(c.members, float64(len(held.live)))
	gauge(c.revision, float64(held.state.Revision))
	gauge(c.epoch, float64(held.version.Epoch.Number))
	gauge(c.voter, boolean(held.voter))
	gauge(c.leader, boolean(held.leader))
}

func boolean(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// Stats is a reading of the counters for a lab.
type Stats struct {
	// ControlBytes is control traffic sent, streams and datagrams.
	ControlBytes uint64
	// CPUSeconds and ResidentBytes are of the daemon's process, 0 where it
	// shares one with others.
	CPUSeconds    float64
	ResidentBytes float64
	Actions       map[string]uint64
	Drops         map[string]uint64
}

// Stats reads the counters.
func (n *Node) Stats() Stats {
	counters := n.plane.counters
	traffic := n.transport.Traffic()
	stats := Stats{
		ControlBytes: traffic.DatagramBytesSent.Load() + traffic.StreamBytesSent.Load(),
		Actions: map[string]uint64{
			"routed": counters.routed.Load(), "handed_over": counters.handedOver.Load(), "picked": counters.picked.Load(),
			"steered_again": counters.steered.Load(), "refused": counters.refused.Load(),
			"resent_handover": counters.resent.Load(), "replicated_pin": counters.replicated.Load(),
		},
		Drops: map[string]uint64{},
	}
	for reason := steering.ReasonNone + 1; reason < steering.ReasonCount; reason++ {
		if count := counters.dropped[reason].Load(); count > 0 {
			stats.Drops[reason.String()] = count
		}
	}
	return stats
}
