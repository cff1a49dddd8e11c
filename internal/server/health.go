package server

import (
	"time"

	"marblehaven/internal/tuning"
)

// StoreReachable reports whether the key-value store has served this controller within
// the last tuning.StoreServedAge.
func (c *controller) StoreReachable() bool { return c.store.SinceServed() < tuning.StoreServedAge }

// StoreFailureIsLocal reports whether the key-value store serves another controller but
// not this one, or this controller is isolated.
//
// Another controller counts as served only if the store served it more than
// tuning.LocalStoreFailureLag after it last served this one. When an outage of the
// whole store begins or ends, controllers notice the change at slightly different times.
// Without the lag, the load balancer would remove a controller in such an outage. After
// each further removal of a controller, the load balancer waits longer before it sends
// users to that controller again.
func (c *controller) StoreFailureIsLocal() bool {
	return !c.StoreReachable() && (c.peers.StoreServedAfter(time.Now().Add(tuning.LocalStoreFailureLag-c.store.SinceServed())) || c.isolated())
}

// isolated reports whether neither the key-value store nor any other controller has
// answered for tuning.IsolatedAfter. Most likely this controller is then partitioned from
// the rest of the cluster, so users must not be sent to it.
func (c *controller) isolated() bool {
	return c.store.SinceServed() > tuning.IsolatedAfter && c.peers.Unreachable(tuning.IsolatedAfter)
}

// Healthy reports whether the load balancer should send users to this controller. A
// controller is unhealthy until it has loaded the machine types, and while
// StoreFailureIsLocal holds. It stays healthy while the key-value store serves no
// controller: removing all controllers from the load balancer would make the outage worse.
func (c *controller) Healthy() bool {
	return c.users.HasMachineTypes() && !c.StoreFailureIsLocal()
}
