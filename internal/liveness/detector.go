// Package liveness is a distributed failure detector for targets. A daemon whose callers
// retransmit data that a target does not acknowledge reports this to a few judges, daemons
// chosen per target. A judge with enough evidence suspects the target: it broadcasts the
// suspicion and probes the target itself. Any daemon that has seen activity since refutes the
// suspicion (as in SWIM); otherwise the judge declares the target dead until activity is seen.
//
// Zones are judged in the same way. An unresponsive zone does not make its targets dead, since
// idle ones may be up, but lets a daemon decide on its own about targets that its callers use.
//
// Slow or overloaded targets still acknowledge data and are not suspected. A target that only some
// daemons cannot reach answers the judge's probe, or daemons that see its activity refute the
// suspicion. If no request that a daemon forwarded since the silence began was answered, the daemon
// has probably lost its own path, and neither reports nor judges.
//
// The package has no clock, socket or randomness, and is not safe for concurrent use.
package liveness

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/passtray/passtray/internal/pause"
)

// Verdict is the decision that a target is dead or a zone unresponsive.
type Verdict struct {
	Subject Subject
	// Until is when the verdict expires.
	Until time.Time
	// Silence is how long no daemon has seen activity. The other numbers are the evidence; they
	// are 0 if another daemon decided.
	Silence                           time.Duration
	Reporters, Flows, Retransmissions int
}

// Output holds the decisions of one step and what the caller must send and probe.
type Output struct {
	Dead []Verdict
	// UnresponsiveZones holds verdicts on zones. They do not make the zones' targets dead.
	UnresponsiveZones []Verdict
	// Alive holds targets whose verdict was withdrawn because of activity.
	Alive   []uint64
	Reports []Outgoing
	// Probes are the probes to make. The detector needs the result of each, also a failure.
	Probes []Probe
}

// Probe requests a probe of a target on behalf of a subject.
type Probe struct {
	Subject Subject
	Target  uint64
	// IsLocal marks a probe for a decision by this daemon alone, IsEarly one made on evidence
	// from one other daemon only.
	IsLocal bool
	IsEarly bool
}

// Directory provides what this daemon knows of targets.
type Directory interface {
	// ZoneOf returns a target's zone; found is false if flows to it are not forwarded.
	ZoneOf(target uint64) (zone string, found bool)
	// IsKnown reports whether flows to a subject are forwarded.
	IsKnown(subject Subject) bool
	// LastActivity returns when this daemon last saw the subject send something, zero if never.
	LastActivity(subject Subject) time.Time
	// ExpectedRate returns how many observations of a subject's activity all daemons together
	// are expected to make per second.
	ExpectedRate(subject Subject) float64
	// TargetsToProbe returns at most count targets to probe for a subject.
	TargetsToProbe(subject Subject, count int) []uint64
	// LastResponse returns when this daemon forwarded the latest request that any target
	// answered.
	LastResponse() time.Time
}

// Detector is one daemon's part of the distributed failure detector.
type Detector struct {
	config   Config
	suspects map[Subject]*suspect
	// pending holds reports from Observe for the next tick.
	pending Output
	// early limits the rate of early probes.
	early tokenBucket
	pause pause.Detector
}

func New(config Config) *Detector {
	return &Detector{config: config, suspects: map[Subject]*suspect{}, early: tokenBucket{tokens: config.EarlyBurst}}
}

// self stands for this daemon as a reporter.
var self netip.AddrPort

// Observe records that a caller retransmitted data on a flow that the target has not
// acknowledged since the given time. Resulting reports are returned by the next Tick.
func (d *Detector) Observe(now time.Time, directory Directory, target, flow uint64, since time.Time) {
	zone, found := directory.ZoneOf(target)
	if !found || !hasWorkingPath(directory, since) {
		return
	}
	d.observe(now, directory, Subject{Target: target}, flow, since)
	d.observe(now, directory, Subject{Zone: zone}, flow, since)
}

func (d *Detector) observe(now time.Time, directory Directory, subject Subject, flow uint64, since time.Time) {
	suspected := d.suspect(subject)
	suspected.recordActivity(directory.LastActivity(subject))
	if !suspected.lastActivity.Before(since) || suspected.isDead(now) {
		return
	}
	own, hasOwn := suspected.evidence[self]
	if !hasOwn {
		own.since = since
		clear(suspected.flows)
		suspected.reportsSent = 0
	}
	suspected.flows[flow] = true
	own.flows, own.retransmissions, own.until = len(suspected.flows), own.retransmissions+1, now.Add(d.config.Window)
	suspected.evidence[self] = own
	judges := min(d.config.InitialJudges<<min(suspected.reportsSent, maxDoublings), d.config.MaxJudges)
	suspected.reportsSent++
	report := Report{Subject: subject, Kind: Unresponsive, Flows: own.flows, Retransmissions: own.retransmissions}
	d.pending.addReport(Outgoing{Judges: judges, Report: report}, now.Sub(own.since))
}

// hasWorkingPath reports whether a request forwarded after the given time was answered: this
// daemon's own path works, so it does not explain a silence since then.
func hasWorkingPath(directory Directory, since time.Time) bool {
	return directory.LastResponse().After(since)
}

// detectPause is called at the start of each step. If the process was paused, it resets pending
// suspicions: refutations may have been missed, and a probe may have run into its timeout
// only because of the pause.
func (d *Detector) detectPause(now time.Time) {
	if !d.pause.RecordStep(now) {
		return
	}
	for _, suspected := range d.suspects {
		suspected.resetSuspicion()
	}
}

// HandleProbeResult handles the result of a probe.
func (d *Detector) HandleProbeResult(now time.Time, probe Probe, hasAnswered bool) {
	d.detectPause(now)
	suspected := d.suspects[probe.Subject]
	if suspected == nil {
		return
	}
	suspected.probedAt = now
	switch {
	case hasAnswered:
		suspected.recordActivity(now)
	case probe.IsLocal && suspected.localProbe == probePending:
		suspected.localProbe = probeFailed
	case probe.IsEarly && suspected.early == probePending:
		suspected.early = probeFailed
	case !probe.IsLocal && !probe.IsEarly && suspected.suspectedHere:
		suspected.probesLeft--
	default:
		// The suspicion was reset while the probe was in flight; the result does not apply to a later one.
	}
}

// maxDoublings prevents an overflow when the number of judges is doubled.
const maxDoublings = 10

// suspect returns the state of a subject, and creates it if needed.
func (d *Detector) suspect(subject Subject) *suspect {
	suspected := d.suspects[subject]
	if suspected == nil {
		suspected = newSuspect()
		d.suspects[subject] = suspected
	}
	return suspected
}

// addReport adds a report about something that happened the given time ago.
func (o *Output) addReport(outgoing Outgoing, age time.Duration) {
	outgoing.AgeMilliseconds = uint32(max(0, age).Milliseconds())
	o.Reports = append(o.Reports, outgoing)
}

// HandleReports handles reports from other daemons.
func (d *Detector) HandleReports(now time.Time, directory Directory, reports []Received) Output {
	var output Output
	d.detectPause(now)
	for index := range reports {
		if directory.IsKnown(reports[index].Subject) {
			d.handleReport(now, directory, &reports[index], &output)
		}
	}
	return output
}

func (d *Detector) handleReport(now time.Time, directory Directory, report *Received, output *Output) {
	suspected := d.suspect(report.Subject)
	suspected.recordActivity(directory.LastActivity(report.Subject))
	since := now.Add(-report.Age())
	if report.Kind != Alive && !suspected.lastActivity.Before(since) {
		d.refute(now, report, suspected, output)
		return
	}
	switch report.Kind {
	case Unresponsive:
		if suspected.isDead(now) {
			verdict := Outgoing{To: report.From, Report: Report{Subject: report.Subject, Kind: Dead}}
			output.addReport(verdict, now.Sub(suspected.unresponsiveSince))
			return
		}
		suspected.rank = report.Rank
		suspected.addEvidence(report, evidence{since: since, until: now.Add(d.config.Window), flows: report.Flows, retransmissions: report.Retransmissions})
		d.probeEarly(now, directory, report.Subject, suspected, output)
		d.evaluate(now, directory, report.Subject, suspected, output)
	case Suspected:
		if suspected.suspectedAt.IsZero() {
			suspected.suspectedAt = now
		}
	case Alive:
		suspected.recordActivity(since)
		d.withdrawVerdict(now, report.Subject, suspected, output)
	case Dead:
		if !suspected.isDead(now) && hasWorkingPath(directory, since) {
			d.declareDead(now, report.Subject, suspected, Verdict{Silence: report.Age()}, output)
		}
	}
}

// refute refutes a report with activity that its sender has not seen. A refuted verdict is
// broadcast, since all daemons may have acted on it.
func (d *Detector) refute(now time.Time, report *Received, suspected *suspect, output *Output) {
	refutation := Outgoing{Report: Report{Subject: report.Subject, Kind: Alive}}
	if report.Kind != Dead {
		refutation.To = report.From
	}
	output.addReport(refutation, now.Sub(suspected.lastActivity))
}

// Tick advances the detector to now.
func (d *Detector) Tick(now time.Time, directory Directory) Output {
	d.detectPause(now)
	output := d.pending
	d.pending = Output{}
	for _, subject := range slices.SortedFunc(maps.Keys(d.suspects), Subject.compare) { // deterministic order for seeded runs
		suspected := d.suspects[subject]
		suspected.expire(now)
		wasDead := suspected.isDead(now)
		if suspected.recordActivity(directory.LastActivity(subject)) {
			d.withdrawVerdict(now, subject, suspected, &output)
		}
		if wasDead && !suspected.isDead(now) {
			output.addReport(Outgoing{Report: Report{Subject: subject, Kind: Alive}}, now.Sub(suspected.lastActivity))
		}
		d.reportEarlyFailure(now, directory, subject, suspected, &output)
		d.evaluate(now, directory, subject, suspected, &output)
		d.evaluateLocally(now, directory, subject, suspected, &output)
		d.repeatVerdict(now, subject, suspected, &output)
		if suspected.isExpired(now, d.config.Window) {
			delete(d.suspects, subject)
		}
	}
	return output
}
