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

// rent makes a claim for machines, as many as a call may ask for; it is called
// once it is recorded. The rest is asked for after the answer: of a dozen calls
// made together most were refused for the reason of the first, and a hundred
// writes a minute went into claims that rented nothing.
func (c *Controller) rent(typ, zone string, spot bool, count int, now time.Time) {
	count = min(count, tuning.ProvisionMax)
	c.claimSeq++
	// The term makes the name unique over all leaders, for ever.
	name := fmt.Sprintf("r-%d-%d", c.term.Term, c.claimSeq)
	c.claims[name] = &claim{ProvisioningRequest: records.ProvisioningRequest{ID: name, Type: typ, Zone: zone, Spot: spot, Count: count, RequestedMS: now.UnixMilli()}}
	c.Log.Info("renting", "claim", name, "type", typ, "zone", zone, "spot", spot, "count", count)
}

// callClaims calls the cloud for recorded claims whose outcome is not known.
func (c *Controller) callClaims(now time.Time) {
	for _, cl := range c.claims {
		if !cl.recorded || cl.calling || cl.settled || now.Before(cl.callAt) {
			continue
		}
		cl.calling = true
		req := protocol.ProvisionRequest{RequestID: cl.ProvisioningRequest.ID, Type: cl.Type, Zone: cl.Zone, Spot: cl.Spot, Count: cl.Count}
		go func() {
			hosts, err := c.Cloud.Provision(c.ctx, req)
			c.send(rentMsg{cl, hosts, err})
		}()
	}
}

func (c *Controller) onRent(m rentMsg, now time.Time) {
	cl := m.c
	cl.calling = false
	c.changed = true
	switch {
	case m.err == nil:
		cl.settled, cl.hosts = true, m.hosts
		c.cloudOK = true
		for _, id := range m.hosts {
			if _, ok := c.gone[id]; ok {
				continue
			}
			if c.machines[id] == nil {
				mc := c.machine(id, time.UnixMilli(cl.RequestedMS))
				mc.Type, mc.Zone, mc.Spot = cl.Type, cl.Zone, cl.Spot
				mc.ProvisionedAt = now
			}
		}
		if len(m.hosts) < cl.Count {
			c.refuse(offer{cl.Type, cl.Zone, cl.Spot}, now)
		} else {
			delete(c.refused, offer{cl.Type, cl.Zone, cl.Spot})
		}
		c.Log.Info("rented", "claim", cl.ProvisioningRequest.ID, "got", len(m.hosts), "asked", cl.Count)
	case errors.Is(m.err, cloud.ErrNoCapacity):
		cl.settled, cl.drop = true, true
		c.cloudOK = true
		c.refuse(offer{cl.Type, cl.Zone, cl.Spot}, now)
		c.Log.Info("no capacity", "type", cl.Type, "zone", cl.Zone, "spot", cl.Spot)
	default:
		// The outcome is unknown or the cloud is down: the same claim is
		// called again, which rents at most once.
		cl.callAt = now.Add(tuning.MachineBackoff)
		c.cloudOK = false
		c.Log.Info("rental call failed", "claim", cl.ProvisioningRequest.ID, "err", m.err)
		if errors.Is(m.err, cloud.ErrInvalidRequest) {
			cl.settled, cl.drop = true, true
			c.refuse(offer{cl.Type, cl.Zone, cl.Spot}, now)
		}
	}
}

func (c *Controller) refuse(o offer, now time.Time) {
	r := c.refused[o]
	if r == nil {
		r = &refusal{pause: tuning.NoCapacityBackoff}
		c.refused[o] = r
	} else {
		r.pause = min(2*r.pause, tuning.NoCapacityBackoffMax)
	}
	r.until = now.Add(r.pause)
}

// giveBack returns machines on which nothing can be, or which are lost: the
// cloud's answer proves that all on them is gone.
func (c *Controller) giveBack(ms []*cluster.Machine, why string, now time.Time) {
	if len(ms) == 0 {
		return
	}
	for _, m := range ms {
		m.Deprovisioning = true
	}
	c.Log.Info("returning machines", "why", why, "machines", names(ms))
	c.toReturn = append(c.toReturn, ms...)
	c.returnNext(now)
}

func names(ms []*cluster.Machine) []string {
	ids := make([]string, len(ms))
	for i, m := range ms {
		ids[i] = m.ID
	}
	return ids
}

// returnNext calls the cloud for what is to be given back. One call is under way
// at a time, and what comes meanwhile goes into the next: hundreds of machines,
// each returned and retried by itself, took the calls from the rentals. Those
// with tasks go first, which start elsewhere only after the answer.
func (c *Controller) returnNext(now time.Time) {
	if len(c.returning) > 0 || len(c.toReturn) == 0 || now.Before(c.returnAfter) {
		return
	}
	slices.SortStableFunc(c.toReturn, func(a, b *cluster.Machine) int {
		return cmp.Compare(min(1, len(b.Placements)), min(1, len(a.Placements)))
	})
	n := min(len(c.toReturn), tuning.DeprovisionMax)
	c.returning, c.toReturn = c.toReturn[:n:n], slices.Clone(c.toReturn[n:])
	ids := names(c.returning)
	go func() { c.send(returnMsg{c.Cloud.Deprovision(c.ctx, ids)}) }()
}

func (c *Controller) onReturn(r returnMsg, now time.Time) {
	ms := c.returning
	c.returning = nil
	defer c.returnNext(now)
	if r.err != nil {
		// It may have been carried out; names that are gone are ignored.
		c.Log.Info("returning machines failed", "machines", len(ms), "err", r.err)
		c.toReturn = append(c.toReturn, ms...)
		c.returnAfter = now.Add(tuning.MachineBackoff)
		return
	}
	for _, m := range ms {
		var ended []cluster.EndedPlacement
		for _, p := range m.Placements {
			ended = append(ended, cluster.EndedPlacement{Placement: p})
		}
		c.end(ended, now)
		c.forget(m)
		c.gone[m.ID] = now
	}
}

func (c *Controller) onList(l listMsg, now time.Time) {
	c.listing = false
	c.cloudOK = l.err == nil
	if l.err != nil {
		c.Log.Debug("machine list", "err", l.err)
		return
	}
	c.changed = c.changed || !c.listed
	c.listed = true
	var failed []*cluster.Machine
	seen := map[string]bool{}
	for _, lm := range l.machines {
		seen[lm.ID] = true
		if _, ok := c.gone[lm.ID]; ok {
			continue
		}
		m := c.machines[lm.ID]
		if m == nil {
			m = c.machine(lm.ID, now)
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
	c.giveBack(failed, "failed", now)
	c.planHandshakes(now)
	c.forgetGone(l.began)
	for _, cl := range c.claims {
		if !cl.settled || cl.drop {
			continue
		}
		// The list has taken over: a new leader will find these there.
		all := true
		for _, id := range cl.hosts {
			_, gone := c.gone[id]
			m := c.machines[id]
			all = all && (seen[id] || gone || (m != nil && m.Up))
		}
		cl.drop = all
	}
}

// forgetGone drops the machines that were given back so long before a list was begun
// that neither it nor a later one names them. The time of the answer proves nothing:
// the list of thousands of machines has many pages, each of which waits for its turn
// among the cloud's calls.
func (c *Controller) forgetGone(listBegan time.Time) {
	lagging := tuning.ListLags * seconds(c.Config.Deployment.Cloud.ListLagS)
	for id, at := range c.gone {
		if listBegan.Sub(at) > lagging {
			delete(c.gone, id)
		}
	}
}

// listPause is the pause to the next list, of which each page is a call: at most
// a part of the calls that may be made goes into lists.
func (c *Controller) listPause() time.Duration {
	pages := float64(len(c.machines)/tuning.ListMax + 1)
	calls := c.Config.Deployment.Cloud.RPS * c.Config.Operator.CallBudget
	return max(tuning.ListInterval, seconds(pages/(calls*tuning.ListShare)))
}

func (c *Controller) onCatalog(m catalogMsg, _ time.Time) {
	if m.types != nil {
		c.setTypes(m.types)
		c.loadedTypes = true
	}
}

func (c *Controller) setTypes(types []protocol.MachineType) {
	c.types, c.changed = types, true
	c.typeIdx = make(map[string]int, len(types))
	for i, t := range types {
		c.typeIdx[t.Name] = i
	}
}

// saveCatalog keeps the catalog for nodes that cannot reach the cloud. Losing
// this write does no harm, so it is not part of the batches.
func (c *Controller) saveCatalog(ctx context.Context, types []protocol.MachineType) {
	_, err := c.Store.Commit(ctx, protocol.Transaction{
		Preconditions: []protocol.Precondition{{Key: records.KeyTerm, Version: c.term.TermVersion}},
		Mutations:     []protocol.Mutation{{Set: records.KeyCatalog, Value: types}},
	})
	if err != nil {
		c.Log.Debug("saving the catalog", "err", err)
	}
}
