package server

import (
	"time"

	"marblehaven/internal/tuning"
)

// StoreReachable tells whether the key-value store has served this controller lately.
func (c *controller) StoreReachable() bool { return c.store.SinceServed() < tuning.StoreServedAge }

// StoreRefusesOnlyThisNode tells whether the key-value store serves other controllers but not this
// one, or this one is isolated. Another controller counts as served only if it was
// served StoreRefusesOnlyThisNodeLag later than this one: at the edges of an outage of the whole
// store, controllers notice it at slightly different times, and one taken for refused
// alone would leave the load balancer, which takes it back later with each removal.
func (c *controller) StoreRefusesOnlyThisNode() bool {
	return !c.StoreReachable() && (c.peers.StoreServedAfter(time.Now().Add(tuning.StoreRefusesOnlyThisNodeLag-c.store.SinceServed())) || c.isolated())
}

// isolated tells whether neither the key-value store nor any other controller has
// answered for a while. Then it is most likely this controller that is partitioned
// from the rest, so users must not be sent to it.
func (c *controller) isolated() bool {
	return c.store.SinceServed() > tuning.IsolatedAfter && c.peers.Unreachable(tuning.IsolatedAfter)
}

// Healthy tells the load balancer whether to send users to this controller: not before
// it knows the machine types, and not while it is refused alone. While the key-value
// store serves nobody it stays healthy, since removing all controllers would only add
// to the outage.
func (c *controller) Healthy() bool {
	return c.users.HasMachineTypes() && !c.StoreRefusesOnlyThisNode()
}
