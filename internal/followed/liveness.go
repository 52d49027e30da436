package followed

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/passtray/passtray/internal/liveness"
	"github.com/passtray/passtray/internal/membership"
	"github.com/passtray/passtray/internal/rendezvous"
)

// maxReportsPerDatagram bounds the reports in one datagram, at some 20 bytes each.
const maxReportsPerDatagram = 40

// LivenessDatagrams returns the datagrams that carry reports on the liveness of targets. They are
// sent directly: gossip repeats each message many times at every daemon, and after the loss of
// a zone the reports on hundreds of targets would delay other updates for seconds.
func (f *Fleet) LivenessDatagrams(reports []liveness.Outgoing) []membership.Datagram {
	if len(reports) == 0 {
		return nil
	}
	var order []netip.AddrPort
	var broadcasts []liveness.Report
	batches := map[netip.AddrPort][]liveness.Report{}
	for index := range reports {
		if isBroadcast(&reports[index]) {
			broadcasts = append(broadcasts, reports[index].Report)
			continue
		}
		for rank, address := range f.recipients(&reports[index]) {
			if batches[address] == nil {
				order = append(order, address)
			}
			report := reports[index].Report
			if reports[index].Judges > 0 {
				report.Rank = rank
			}
			batches[address] = append(batches[address], report)
		}
	}
	var datagrams []membership.Datagram
	send := func(to []netip.AddrPort, reports []liveness.Report) {
		for batch := range slices.Chunk(reports, maxReportsPerDatagram) {
			datagrams = append(datagrams, f.group.DirectDatagrams(to, encode(batch))...)
		}
	}
	for _, address := range order {
		send([]netip.AddrPort{address}, slices.Concat(broadcasts, batches[address]))
	}
	if len(broadcasts) > 0 {
		others := slices.DeleteFunc(f.liveAddresses(), func(address netip.AddrPort) bool { return batches[address] != nil })
		send(others, broadcasts) // encoded once for all of them
	}
	return datagrams
}

// isBroadcast reports whether a report is addressed to all daemons.
func isBroadcast(report *liveness.Outgoing) bool { return !report.To.IsValid() && report.Judges == 0 }

// liveAddresses returns the addresses of the live daemons, including this one.
func (f *Fleet) liveAddresses() []netip.AddrPort {
	live := f.group.Live()
	all := make([]netip.AddrPort, len(live))
	for index := range live {
		all[index] = live[index].Identity.Address
	}
	return all
}

// recipients returns the daemons that a report is sent to. If this daemon is one of the judges,
// the next-ranked one is added, so that as many other daemons judge.
func (f *Fleet) recipients(report *liveness.Outgoing) []netip.AddrPort {
	recipients := f.audience(report)
	if report.Judges == 0 || !slices.Contains(recipients, f.self.Identity.Address) {
		return recipients
	}
	more := *report
	more.Judges++
	return f.audience(&more)
}

// audience returns the daemons that a report is addressed to, which may include this one.
func (f *Fleet) audience(report *liveness.Outgoing) []netip.AddrPort {
	if report.To.IsValid() {
		return []netip.AddrPort{report.To}
	}
	return rendezvous.Top(subjectKey(report.Subject), f.liveAddresses(), report.Judges)
}

// subjectKey returns the key of a subject for rendezvous hashing.
func subjectKey(subject liveness.Subject) uint64 {
	if subject.Zone != "" {
		return xxhash.Sum64String(subject.Zone)
	}
	return subject.Target
}

// handleLiveness handles reports on the liveness of targets. After a pause of the process they
// are dropped: their ages count from when they were sent.
func (f *Fleet) handleLiveness(now time.Time, messages []membership.DirectMessage, into *FleetOutput) {
	if f.pause.MayBeStale(now) {
		return
	}
	for _, message := range messages {
		var reports []liveness.Report
		if cbor.Unmarshal(message.Payload, &reports) != nil {
			continue // from a different version of the program
		}
		for _, report := range reports {
			into.Liveness = append(into.Liveness, liveness.Received{Report: report, From: message.From.Address})
		}
	}
}
