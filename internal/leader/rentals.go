package leader

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"marblehaven/internal/cloud"
	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// requestMachines makes a claim for machines, as many as a call may ask for; it is called
// once it is recorded. The rest is asked for after the answer: of a dozen calls
// made together most were refused for the reason of the first, and a hundred
// writes a minute went into claims that rented nothing.
func (c *Leader) requestMachines(typ, zone string, spot bool, count int, now time.Time) {
	count = min(count, tuning.ProvisionMax)
	c.provisionSequence++
	// The term makes the name unique over all leaders, for ever.
	name := fmt.Sprintf("r-%d-%d", c.leadership.Term, c.provisionSequence)
	c.provisionRequests[name] = &provisioning{ProvisioningRequest: records.ProvisioningRequest{ID: name, Type: typ, Zone: zone, Spot: spot, Count: count, RequestedMS: now.UnixMilli()}}
	c.Log.Info("renting", "claim", name, "type", typ, "zone", zone, "spot", spot, "count", count)
}

// callProvisioning calls the cloud for recorded claims whose outcome is not known.
func (c *Leader) callProvisioning(now time.Time) {
	for _, cl := range c.provisionRequests {
		if !cl.recorded || cl.calling || cl.resolved || now.Before(cl.nextCall) {
			continue
		}
		cl.calling = true
		req := protocol.ProvisionRequest{RequestID: cl.ProvisioningRequest.ID, Type: cl.Type, Zone: cl.Zone, Spot: cl.Spot, Count: cl.Count}
		go func() {
			hosts, err := c.Cloud.Provision(c.ctx, req)
			c.post(provisionResult{cl, hosts, err})
		}()
	}
}

func (c *Leader) onProvisionResult(m provisionResult, now time.Time) {
	cl := m.request
	cl.calling = false
	c.changed = true
	switch {
	case m.err == nil:
		cl.resolved, cl.machineIDs = true, m.machineIDs
		c.cloudOK = true
		for _, id := range m.machineIDs {
			if _, ok := c.removedMachines[id]; ok {
				continue
			}
			if c.machines[id] == nil {
				mc := c.machineByID(id, time.UnixMilli(cl.RequestedMS))
				mc.Type, mc.Zone, mc.Spot = cl.Type, cl.Zone, cl.Spot
				mc.ProvisionedAt = now
			}
		}
		if len(m.machineIDs) < cl.Count {
			c.backOffPool(capacityPool{cl.Type, cl.Zone, cl.Spot}, now)
		} else {
			delete(c.capacityBackoffs, capacityPool{cl.Type, cl.Zone, cl.Spot})
		}
		c.Log.Info("rented", "claim", cl.ProvisioningRequest.ID, "got", len(m.machineIDs), "asked", cl.Count)
	case errors.Is(m.err, cloud.ErrNoCapacity):
		cl.resolved, cl.obsolete = true, true
		c.cloudOK = true
		c.backOffPool(capacityPool{cl.Type, cl.Zone, cl.Spot}, now)
		c.Log.Info("no capacity", "type", cl.Type, "zone", cl.Zone, "spot", cl.Spot)
	default:
		// The outcome is unknown or the cloud is down: the same claim is
		// called again, which rents at most once.
		cl.nextCall = now.Add(tuning.MachineBackoff)
		c.cloudOK = false
		c.Log.Info("rental call failed", "claim", cl.ProvisioningRequest.ID, "err", m.err)
		if errors.Is(m.err, cloud.ErrInvalidRequest) {
			cl.resolved, cl.obsolete = true, true
			c.backOffPool(capacityPool{cl.Type, cl.Zone, cl.Spot}, now)
		}
	}
}

func (c *Leader) backOffPool(o capacityPool, now time.Time) {
	r := c.capacityBackoffs[o]
	if r == nil {
		r = &capacityBackoff{delay: tuning.NoCapacityBackoff}
		c.capacityBackoffs[o] = r
	} else {
		r.delay = min(2*r.delay, tuning.NoCapacityBackoffMax)
	}
	r.until = now.Add(r.delay)
}

// deprovision returns machines on which nothing can be, or which are lost: the
// cloud's answer proves that all on them is gone.
func (c *Leader) deprovision(ms []*cluster.Machine, why string, now time.Time) {
	if len(ms) == 0 {
		return
	}
	for _, m := range ms {
		m.Deprovisioning = true
	}
	c.Log.Info("returning machines", "why", why, "machines", machineNames(ms))
	c.deprovisionQueue = append(c.deprovisionQueue, ms...)
	c.deprovisionNext(now)
}

func machineNames(ms []*cluster.Machine) []string {
	ids := make([]string, len(ms))
	for i, m := range ms {
		ids[i] = m.ID
	}
	return ids
}

// deprovisionNext calls the cloud for what is to be given back. One call is under way
// at a time, and what comes meanwhile goes into the next: hundreds of machines,
// each returned and retried by itself, took the calls from the rentals. Those
// with tasks go first, which start elsewhere only after the answer.
func (c *Leader) deprovisionNext(now time.Time) {
	if len(c.deprovisionInFlight) > 0 || len(c.deprovisionQueue) == 0 || now.Before(c.nextDeprovision) {
		return
	}
	slices.SortStableFunc(c.deprovisionQueue, func(a, b *cluster.Machine) int {
		return cmp.Compare(min(1, len(b.Placements)), min(1, len(a.Placements)))
	})
	n := min(len(c.deprovisionQueue), tuning.DeprovisionMax)
	c.deprovisionInFlight, c.deprovisionQueue = c.deprovisionQueue[:n:n], slices.Clone(c.deprovisionQueue[n:])
	ids := machineNames(c.deprovisionInFlight)
	go func() { c.post(deprovisionResult{c.Cloud.Deprovision(c.ctx, ids)}) }()
}

func (c *Leader) onDeprovisionResult(r deprovisionResult, now time.Time) {
	ms := c.deprovisionInFlight
	c.deprovisionInFlight = nil
	defer c.deprovisionNext(now)
	if r.err != nil {
		// It may have been carried out; names that are gone are ignored.
		c.Log.Info("returning machines failed", "machines", len(ms), "err", r.err)
		c.deprovisionQueue = append(c.deprovisionQueue, ms...)
		c.nextDeprovision = now.Add(tuning.MachineBackoff)
		return
	}
	for _, m := range ms {
		var ended []cluster.EndedPlacement
		for _, p := range m.Placements {
			ended = append(ended, cluster.EndedPlacement{Placement: p})
		}
		c.endPlacements(ended, now)
		c.forgetMachine(m)
		c.removedMachines[m.ID] = now
	}
}

func (c *Leader) onMachineList(l machineListResult, now time.Time) {
	c.listInFlight = false
	c.cloudOK = l.err == nil
	if l.err != nil {
		c.Log.Debug("machine list", "err", l.err)
		return
	}
	c.changed = c.changed || !c.machinesListed
	c.machinesListed = true
	var failed []*cluster.Machine
	seen := map[string]bool{}
	for _, lm := range l.machines {
		seen[lm.ID] = true
		if _, ok := c.removedMachines[lm.ID]; ok {
			continue
		}
		m := c.machines[lm.ID]
		if m == nil {
			m = c.machineByID(lm.ID, now)
			m.ProvisionedAt = now.Add(-seconds(lm.AgeS))
			m.Type, m.Zone, m.Spot = lm.Type, lm.Zone, lm.Spot
		}
		if m.Type == "" {
			m.Type, m.Zone, m.Spot, m.ProvisionedAt = lm.Type, lm.Zone, lm.Spot, now.Add(-seconds(lm.AgeS))
		}
		if !m.Up && m.Addr == "" && lm.Addr != "" && lm.State != protocol.MachineStarting {
			m.Addr = lm.Addr
		}
		if lm.State == protocol.MachineFailed && !m.Deprovisioning {
			failed = append(failed, m)
		}
	}
	c.deprovision(failed, "failed", now)
	c.planHandshakes(now)
	c.pruneRemovedMachines(l.began)
	for _, cl := range c.provisionRequests {
		if !cl.resolved || cl.obsolete {
			continue
		}
		// The list has taken over: a new leader will find these there.
		all := true
		for _, id := range cl.machineIDs {
			_, gone := c.removedMachines[id]
			m := c.machines[id]
			all = all && (seen[id] || gone || (m != nil && m.Up))
		}
		cl.obsolete = all
	}
}

// pruneRemovedMachines drops the machines that were given back so long before a list was begun
// that neither it nor a later one names them. The time of the answer proves nothing:
// the list of thousands of machines has many pages, each of which waits for its turn
// among the cloud's calls.
func (c *Leader) pruneRemovedMachines(listBegan time.Time) {
	lagging := tuning.ListLags * seconds(c.Config.Deployment.Cloud.ListLagS)
	for id, at := range c.removedMachines {
		if listBegan.Sub(at) > lagging {
			delete(c.removedMachines, id)
		}
	}
}

// listInterval is the pause to the next list, of which each page is a call: at most
// a part of the calls that may be made goes into lists.
func (c *Leader) listInterval() time.Duration {
	pages := float64(len(c.machines)/tuning.ListMax + 1)
	calls := c.Config.Deployment.Cloud.RPS * c.Config.Operator.CallBudget
	return max(tuning.ListInterval, seconds(pages/(calls*tuning.ListShare)))
}

func (c *Leader) onCatalog(m catalogResult, _ time.Time) {
	if m.types != nil {
		c.setTypes(m.types)
		c.typesLoaded = true
	}
}

func (c *Leader) setTypes(types []protocol.MachineType) {
	c.machineTypes, c.changed = types, true
	c.typeIndex = make(map[string]int, len(types))
	for i, t := range types {
		c.typeIndex[t.Name] = i
	}
}

// saveCatalog keeps the catalog for nodes that cannot reach the cloud. Losing
// this write does no harm, so it is not part of the batches.
func (c *Leader) saveCatalog(ctx context.Context, types []protocol.MachineType) {
	_, err := c.Store.Commit(ctx, protocol.Transaction{
		Preconditions: []protocol.Precondition{{Key: records.KeyTerm, Version: c.leadership.TermVersion}},
		Mutations:     []protocol.Mutation{{Set: records.KeyCatalog, Value: types}},
	})
	if err != nil {
		c.Log.Debug("saving the catalog", "err", err)
	}
}
