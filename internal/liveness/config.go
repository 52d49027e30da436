package liveness

import "time"

// Config holds a detector's bounds.
type Config struct {
	// Reporters, Flows and Sends are from how many daemons and flows, and how many
	// packets sent again, evidence must come. One daemon may have lost its path to the
	// target, and single packets are lost.
	Reporters int
	Flows     int
	Sends     int
	// LeastSilence and MostSilence bound how long nobody may have heard from a target
	// before it is held for dead. Between them the silence must span SignsMissed signs
	// of life that were to be expected: so many do not fail to appear by chance (Hayashibara
	// et al., "The φ Accrual Failure Detector", 2004).
	LeastSilence time.Duration
	MostSilence  time.Duration
	SignsMissed  float64
	// ObjectFor is how long daemons that heard from the target have to say so when they
	// are asked (the suspicion of SWIM: Das, Gupta, Motivala, 2002). It must exceed a
	// round trip and the time in which a busy daemon reads its datagrams.
	ObjectFor time.Duration
	// EarlyProbes bounds the probes that a judge makes in a second at the first evidence of
	// one other daemon, and EarlyBurst those at once. If two judges' fail, one asks all without
	// waiting for a second daemon's callers, and probes again. Connections to targets are
	// priced, and lost packets alone bring some 30 such reports a second to 33 daemons whose
	// links lose 2.5 % of them.
	EarlyProbes float64
	EarlyBurst  float64
	// ZoneProbes is how many targets of a zone are probed before it is held for dead. Where
	// one of them is alone dead the others answer.
	ZoneProbes int
	// Window is how long evidence counts.
	Window time.Duration
	// HoldFor is how long a verdict holds. Then flows reach the target again, and show
	// whether it is still dead.
	HoldFor time.Duration
	// RepeatAfter is how long after a verdict the judge tells it once more. A daemon that it
	// did not reach resets no flows that rest; later losses are not those of the first time.
	RepeatAfter time.Duration
	// FirstJudges is how many daemons are told of a silence at first; each further time
	// it is twice as many, up to MostJudges, as some of them may have gone.
	FirstJudges int
	MostJudges  int
}

// DefaultConfig suits targets that acknowledge within 100 ms, and callers that send again
// after 200 ms.
func DefaultConfig() Config {
	return Config{
		Reporters: 2,
		Flows:     2,
		Sends:     3, // with 2, 2 of 600 seeded schedules reset a living flow; with 3, none of 1,000

		LeastSilence: 400 * time.Millisecond, // two sends of a caller
		MostSilence:  700 * time.Millisecond, // with 1.5 s and 8 signs, verdicts came 0.2 s later
		SignsMissed:  3,
		ObjectFor:    150 * time.Millisecond, // three ticks of a daemon
		EarlyProbes:  2,
		EarlyBurst:   16, // of 1,400 daemons each judges 2 of the 650 targets of a zone; of 33, 4 of 60
		ZoneProbes:   4,
		Window:       3 * time.Second, // a caller sends again after 0.2, 0.6, 1.4 and 3 s
		HoldFor:      3 * time.Second, // shorter than the 4 s in which a troubled target is excused
		RepeatAfter:  100 * time.Millisecond,

		FirstJudges: 2,
		MostJudges:  8, // of 8, all are gone in one of 60 cases where 6 of 10 daemons are
	}
}
