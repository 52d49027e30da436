package liveness

import "time"

type Config struct {
	// The minimum numbers of reporting daemons, affected flows and retransmissions for suspecting
	// a target. A single daemon may have lost its own path, and single packets get lost.
	Reporters int
	Flows     int
	Sends     int
	// LeastSilence and MostSilence bound how long a target must be unresponsive before it is
	// declared dead. Between the bounds, the time must cover SignsMissed expected observations
	// of activity, similar to a φ accrual failure detector (Hayashibara et al., 2004).
	LeastSilence time.Duration
	MostSilence  time.Duration
	SignsMissed  float64
	// ObjectFor is how long other daemons have to refute a suspicion (SWIM: Das, Gupta,
	// Motivala, 2002). It must exceed a round trip plus the time that a busy daemon needs to
	// read its datagrams.
	ObjectFor time.Duration
	// EarlyProbes and EarlyBurst are the rate per second and the burst of probes that a judge
	// sends on evidence from one other daemon only. They limit the connections opened to targets
	// when packet loss alone causes reports.
	EarlyProbes float64
	EarlyBurst  float64
	// ZoneProbes is how many targets of a zone are probed before the zone is declared
	// unresponsive, so that a single dead target does not decide.
	ZoneProbes int
	// Window is how long evidence stays valid.
	Window time.Duration
	// HoldFor is how long a verdict lasts. Afterwards the target receives flows again, which
	// show whether it has recovered.
	HoldFor time.Duration
	// RepeatAfter is when a judge sends its verdict a second time, for daemons that missed the
	// first datagram.
	RepeatAfter time.Duration
	// FirstJudges is how many judges receive the first report on a subject. The number doubles
	// with each further report, up to MostJudges, because some judges may be down.
	FirstJudges int
	MostJudges  int
}

// DefaultConfig suits targets that acknowledge within 100 ms and callers that retransmit
// after 200 ms.
func DefaultConfig() Config {
	return Config{
		Reporters: 2,
		Flows:     2,
		Sends:     3,

		LeastSilence: 400 * time.Millisecond, // two retransmissions of a caller
		MostSilence:  700 * time.Millisecond,
		SignsMissed:  3,
		ObjectFor:    150 * time.Millisecond, // three daemon ticks
		EarlyProbes:  2,
		EarlyBurst:   16,
		ZoneProbes:   4,
		Window:       3 * time.Second, // callers retransmit after 0.2, 0.6, 1.4 and 3 s
		HoldFor:      3 * time.Second,
		RepeatAfter:  100 * time.Millisecond,

		FirstJudges: 2,
		MostJudges:  8,
	}
}
