// Package storelab runs daemons as processes on loopback that watch a store, with faults
// drawn from a seed. The store, the proxies in front of it, an ECMP router, callers and
// targets are simulated in this process. Callers and targets record events, and Check
// verifies the invariants against them.
package storelab
