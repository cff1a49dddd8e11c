package server

import (
	"time"

	"marblehaven/internal/tuning"
)

// StoreReachable tells whether the state service serves this node.
func (n *controller) StoreReachable() bool { return n.store.SinceServed() < tuning.StoreServedAge }

// RefusedAlone tells whether the state service refuses this node while it serves
// others: they were served well after this node was. At the edges of an outage
// nodes notice at slightly different times, which must not look like this: the
// load balancer takes a node back later each time it was removed.
func (n *controller) RefusedAlone() bool {
	return !n.StoreReachable() && (n.peers.StoreServedAfter(time.Now().Add(tuning.RefusedAloneLag-n.store.SinceServed())) || n.isolated())
}

// isolated tells whether neither the state service nor any other controller has
// been heard for a while: then it is most likely this node that is cut off, and
// users must not be sent to it.
func (n *controller) isolated() bool {
	return n.store.SinceServed() > tuning.IsolatedAfter && n.peers.Unreachable(tuning.IsolatedAfter)
}

// Healthy is off while the state service refuses this node alone. While it serves
// nobody the node stays up: removing all nodes would only add to the outage.
func (n *controller) Healthy() bool { return n.users.HasTypes() && !n.RefusedAlone() }
