// Package storelab plays a fleet that follows a store, with daemons as processes on
// loopback, against stand-ins of what surrounds it: the store behind proxies, routers,
// callers and targets. Faults are drawn from a seed. What callers and targets see is noted
// as events, which Check judges.
package storelab
