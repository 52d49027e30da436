package storelab

// RegressionSeed is a schedule that once exposed a fault.
type RegressionSeed struct {
	Seed uint64
	// Series, TargetFaults and EntryFaults are the values of the fields of Config in that run.
	Series, TargetFaults, EntryFaults int
}

// RegressionSeeds are run first by every soak. Each run has the same faults; their timing varies slightly.
//
//   - 6 and 20: daemons restarted after a route had moved dropped all packets of its open flows, as
//     they didn't know the previous service.
//   - 101: SIGHUP in the first milliseconds of a daemon's process terminated it.
//   - 201: a daemon that resumed after a pause of 1.5 s rejected queued first packets of flows that
//     other daemons had opened from retransmissions.
//   - 817815575: entries of targets had no start time. A restored store contained an ended target at
//     the address of a newer one, whose open flows were then reset.
//   - 9005: targets crashed before the store applied their only write, and the open flows of their successors
//     were reset.
//   - 5001: the store applied writes of crashed targets late, and the open flows of their successors were
//     reset.
var RegressionSeeds = []RegressionSeed{
	{Seed: 6},
	{Seed: 20},
	{Seed: 101, Series: 4},
	{Seed: 201, Series: 4},
	{Seed: 817815575, Series: 4},
	{Seed: 5001, Series: 4, TargetFaults: 3},
	{Seed: 9005, Series: 4, TargetFaults: 3, EntryFaults: 3},
}
