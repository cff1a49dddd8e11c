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
	c.provisioner.sequence++
	// The term makes the name unique over all leaders, for ever.
	name := fmt.Sprintf("r-%d-%d", c.leadership.Term, c.provisioner.sequence)
	c.provisioner.requests[name] = &provisioning{ProvisioningRequest: records.ProvisioningRequest{ID: name, Type: typ, Zone: zone, Spot: spot, Count: count, RequestedMS: now.UnixMilli()}}
	c.Log.Info("renting", "claim", name, "type", typ, "zone", zone, "spot", spot, "count", count)
}

// callProvisioning calls the cloud for recorded claims whose outcome is not known.
func (c *Leader) callProvisioning(now time.Time) {
	for _, request := range c.provisioner.requests {
		if !request.recorded || request.calling || request.resolved || now.Before(request.nextCall) {
			continue
		}
		request.calling = true
		req := protocol.ProvisionRequest{RequestID: request.ProvisioningRequest.ID, Type: request.Type, Zone: request.Zone, Spot: request.Spot, Count: request.Count}
		go func() {
			hosts, err := c.Cloud.Provision(c.ctx, req)
			c.post(provisionResult{request, hosts, err})
		}()
	}
}

func (c *Leader) onProvisionResult(m provisionResult, now time.Time) {
	request := m.request
	request.calling = false
	c.cycle.needed = true
	switch {
	case m.err == nil:
		request.resolved, request.machineIDs = true, m.machineIDs
		c.provisioner.cloudAvailable = true
		for _, id := range m.machineIDs {
			if _, ok := c.machines.removed[id]; ok {
				continue
			}
			if c.machines.byID[id] == nil {
				mc := c.machineByID(id, time.UnixMilli(request.RequestedMS))
				mc.Type, mc.Zone, mc.Spot = request.Type, request.Zone, request.Spot
				mc.ProvisionedAt = now
			}
		}
		if len(m.machineIDs) < request.Count {
			c.backOffPool(capacityPool{request.Type, request.Zone, request.Spot}, now)
		} else {
			delete(c.provisioner.backoffs, capacityPool{request.Type, request.Zone, request.Spot})
		}
		c.Log.Info("rented", "claim", request.ProvisioningRequest.ID, "got", len(m.machineIDs), "asked", request.Count)
	case errors.Is(m.err, cloud.ErrNoCapacity):
		request.resolved, request.obsolete = true, true
		c.provisioner.cloudAvailable = true
		c.backOffPool(capacityPool{request.Type, request.Zone, request.Spot}, now)
		c.Log.Info("no capacity", "type", request.Type, "zone", request.Zone, "spot", request.Spot)
	default:
		// The outcome is unknown or the cloud is down: the same claim is
		// called again, which rents at most once.
		request.nextCall = now.Add(tuning.MachineBackoff)
		c.provisioner.cloudAvailable = false
		c.Log.Info("rental call failed", "claim", request.ProvisioningRequest.ID, "err", m.err)
		if errors.Is(m.err, cloud.ErrInvalidRequest) {
			request.resolved, request.obsolete = true, true
			c.backOffPool(capacityPool{request.Type, request.Zone, request.Spot}, now)
		}
	}
}

func (c *Leader) backOffPool(o capacityPool, now time.Time) {
	r := c.provisioner.backoffs[o]
	if r == nil {
		r = &capacityBackoff{delay: tuning.NoCapacityBackoff}
		c.provisioner.backoffs[o] = r
	} else {
		r.delay = min(2*r.delay, tuning.NoCapacityBackoffMax)
	}
	r.until = now.Add(r.delay)
}

// deprovision returns machines on which nothing can be, or which are lost: the
// cloud's answer proves that all on them is gone.
func (c *Leader) deprovision(machines []*cluster.Machine, why string, now time.Time) {
	if len(machines) == 0 {
		return
	}
	for _, machine := range machines {
		machine.Deprovisioning = true
	}
	c.Log.Info("returning machines", "why", why, "machines", machineNames(machines))
	c.provisioner.deprovisionQueue = append(c.provisioner.deprovisionQueue, machines...)
	c.deprovisionNext(now)
}

func machineNames(machines []*cluster.Machine) []string {
	ids := make([]string, len(machines))
	for i, machine := range machines {
		ids[i] = machine.ID
	}
	return ids
}

// deprovisionNext calls the cloud for what is to be given back. One call is under way
// at a time, and what comes meanwhile goes into the next: hundreds of machines,
// each returned and retried by itself, took the calls from the rentals. Those
// with tasks go first, which start elsewhere only after the answer.
func (c *Leader) deprovisionNext(now time.Time) {
	if len(c.provisioner.deprovisionInFlight) > 0 || len(c.provisioner.deprovisionQueue) == 0 || now.Before(c.provisioner.nextDeprovision) {
		return
	}
	slices.SortStableFunc(c.provisioner.deprovisionQueue, func(a, b *cluster.Machine) int {
		return cmp.Compare(min(1, len(b.Placements)), min(1, len(a.Placements)))
	})
	n := min(len(c.provisioner.deprovisionQueue), tuning.DeprovisionMax)
	c.provisioner.deprovisionInFlight, c.provisioner.deprovisionQueue = c.provisioner.deprovisionQueue[:n:n], slices.Clone(c.provisioner.deprovisionQueue[n:])
	ids := machineNames(c.provisioner.deprovisionInFlight)
	go func() { c.post(deprovisionResult{c.Cloud.Deprovision(c.ctx, ids)}) }()
}

func (c *Leader) onDeprovisionResult(r deprovisionResult, now time.Time) {
	machines := c.provisioner.deprovisionInFlight
	c.provisioner.deprovisionInFlight = nil
	defer c.deprovisionNext(now)
	if r.err != nil {
		// It may have been carried out; names that are gone are ignored.
		c.Log.Info("returning machines failed", "machines", len(machines), "err", r.err)
		c.provisioner.deprovisionQueue = append(c.provisioner.deprovisionQueue, machines...)
		c.provisioner.nextDeprovision = now.Add(tuning.MachineBackoff)
		return
	}
	for _, machine := range machines {
		var ended []cluster.EndedPlacement
		for _, placement := range machine.Placements {
			ended = append(ended, cluster.EndedPlacement{Placement: placement})
		}
		c.endPlacements(ended, now)
		c.forgetMachine(machine)
		c.machines.removed[machine.ID] = now
	}
}

func (c *Leader) onMachineList(l machineListResult, now time.Time) {
	c.provisioner.listInFlight = false
	c.provisioner.cloudAvailable = l.err == nil
	if l.err != nil {
		c.Log.Debug("machine list", "err", l.err)
		return
	}
	c.cycle.needed = c.cycle.needed || !c.provisioner.listed
	c.provisioner.listed = true
	var failed []*cluster.Machine
	seen := map[string]bool{}
	for _, lm := range l.machines {
		seen[lm.ID] = true
		if _, ok := c.machines.removed[lm.ID]; ok {
			continue
		}
		machine := c.machines.byID[lm.ID]
		if machine == nil {
			machine = c.machineByID(lm.ID, now)
			machine.ProvisionedAt = now.Add(-seconds(lm.AgeS))
			machine.Type, machine.Zone, machine.Spot = lm.Type, lm.Zone, lm.Spot
		}
		if machine.Type == "" {
			machine.Type, machine.Zone, machine.Spot, machine.ProvisionedAt = lm.Type, lm.Zone, lm.Spot, now.Add(-seconds(lm.AgeS))
		}
		if !machine.Up && machine.Addr == "" && lm.Addr != "" && lm.State != protocol.MachineStarting {
			machine.Addr = lm.Addr
		}
		if lm.State == protocol.MachineFailed && !machine.Deprovisioning {
			failed = append(failed, machine)
		}
	}
	c.deprovision(failed, "failed", now)
	c.planHandshakes(now)
	c.pruneRemovedMachines(l.began)
	for _, request := range c.provisioner.requests {
		if !request.resolved || request.obsolete {
			continue
		}
		// The list has taken over: a new leader will find these there.
		all := true
		for _, id := range request.machineIDs {
			_, gone := c.machines.removed[id]
			machine := c.machines.byID[id]
			all = all && (seen[id] || gone || (machine != nil && machine.Up))
		}
		request.obsolete = all
	}
}

// pruneRemovedMachines drops the machines that were given back so long before a list was begun
// that neither it nor a later one names them. The time of the answer proves nothing:
// the list of thousands of machines has many pages, each of which waits for its turn
// among the cloud's calls.
func (c *Leader) pruneRemovedMachines(listBegan time.Time) {
	lagging := tuning.ListLags * seconds(c.Config.Deployment.Cloud.ListLagS)
	for id, at := range c.machines.removed {
		if listBegan.Sub(at) > lagging {
			delete(c.machines.removed, id)
		}
	}
}

// listInterval is the pause to the next list, of which each page is a call: at most
// a part of the calls that may be made goes into lists.
func (c *Leader) listInterval() time.Duration {
	pages := float64(len(c.machines.byID)/tuning.ListMax + 1)
	calls := c.Config.Deployment.Cloud.RPS * c.Config.Operator.CallBudget
	return max(tuning.ListInterval, seconds(pages/(calls*tuning.ListShare)))
}

func (c *Leader) onCatalog(m catalogResult, _ time.Time) {
	if m.types != nil {
		c.setTypes(m.types)
		c.catalog.loaded = true
	}
}

func (c *Leader) setTypes(types []protocol.MachineType) {
	c.catalog.types, c.cycle.needed = types, true
	c.catalog.index = make(map[string]int, len(types))
	for i, t := range types {
		c.catalog.index[t.Name] = i
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
