package liveness

import "time"

type Config struct {
	// The minimum numbers of reporting daemons, affected flows and retransmissions for suspecting
	// a target. A single daemon may have lost its own path, and single packets get lost.
	MinReporters       int
	MinFlows           int
	MinRetransmissions int
	// MinSilence and MaxSilence bound how long a target must be unresponsive before it is
	// declared dead. Between the bounds, the time must cover MinMissedObservations expected observations
	// of activity, similar to a φ accrual failure detector (Hayashibara et al., 2004).
	MinSilence            time.Duration
	MaxSilence            time.Duration
	MinMissedObservations float64
	// RefutationTimeout is how long other daemons have to refute a suspicion (SWIM: Das, Gupta,
	// Motivala, 2002). It must exceed a round trip plus the time that a busy daemon needs to
	// read its datagrams.
	RefutationTimeout time.Duration
	// EarlyProbes and EarlyBurst are the rate per second and the burst of probes that a judge
	// sends on evidence from one other daemon only. They limit the connections opened to targets
	// when packet loss alone causes reports: 33 daemons whose links lose 2.5 % of the packets
	// get some 30 such reports per second.
	EarlyProbes float64
	EarlyBurst  float64
	// ZoneProbes is how many targets of a zone are probed before the zone is declared
	// unresponsive, so that a single dead target does not decide.
	ZoneProbes int
	// Window is how long evidence stays valid.
	Window time.Duration
	// VerdictDuration is how long a verdict lasts. Afterwards the target receives flows again, which
	// show whether it has recovered.
	VerdictDuration time.Duration
	// RepeatAfter is when a judge sends its verdict a second time, for daemons that missed the
	// first datagram.
	RepeatAfter time.Duration
	// InitialJudges is how many judges receive the first report on a subject. The number doubles
	// with each further report, up to MaxJudges, because some judges may be down.
	InitialJudges int
	MaxJudges     int
}

// DefaultConfig suits targets that acknowledge within 100 ms and callers that retransmit
// after 200 ms.
func DefaultConfig() Config {
	return Config{
		MinReporters:       2,
		MinFlows:           2,
		MinRetransmissions: 3, // with 2, 2 of 600 simulated schedules reset a flow of a live target

		MinSilence:            400 * time.Millisecond, // two retransmissions of a caller
		MaxSilence:            700 * time.Millisecond,
		MinMissedObservations: 3,
		RefutationTimeout:     150 * time.Millisecond, // three daemon ticks
		EarlyProbes:           2,
		EarlyBurst:            16,
		ZoneProbes:            4,
		Window:                3 * time.Second, // callers retransmit after 0.2, 0.6, 1.4 and 3 s
		VerdictDuration:       3 * time.Second,
		RepeatAfter:           100 * time.Millisecond,

		InitialJudges: 2,
		MaxJudges:     8,
	}
}
