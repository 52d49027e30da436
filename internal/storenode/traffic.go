package storenode

import (
	"sync/atomic"

	"github.com/passtray/passtray/internal/followed"
)

// trafficKind is the purpose of messages between daemons.
type trafficKind uint8

const (
	// trafficGossip is datagrams, trafficSnapshot snapshots for starting daemons, trafficChanges
	// incremental deltas, trafficRedirect redirects to other daemons.
	trafficGossip trafficKind = iota
	trafficSnapshot
	trafficChanges
	trafficRedirect
	trafficKindCount
)

// trafficNames are the label values of the metric.
var trafficNames = [trafficKindCount]string{"gossip", "whole", "changes", "redirect"}

// peerTraffic counts the payload bytes of messages between daemons.
type peerTraffic struct {
	sent, received [trafficKindCount]atomic.Uint64
}

// trafficOf returns the kind of the answer to a pull.
func trafficOf(delta *followed.Delta) trafficKind {
	switch {
	case delta.IsRedirect:
		return trafficRedirect
	case delta.Since == 0:
		return trafficSnapshot
	}
	return trafficChanges
}
