package leader

import (
	"errors"
	"fmt"
	"time"

	"marblehaven/internal/cloud"
	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// provisioner asks the cloud for machines and gives them back, within the budget of
// calls. Requests are recorded before the call, so that a new leader repeats them:
// repeated, a request provisions at most once.
type provisioner struct {
	requests map[string]*provisioningState // by ID
	sequence int                           // of the latest request of this term
	backoffs map[capacityPool]*capacityBackoff

	deprovisionQueue    []*cluster.Machine
	deprovisionInFlight []*cluster.Machine // in the call under way
	nextDeprovision     time.Time          // no call before

	listed         bool // a machine list was read in this term
	listInFlight   bool
	nextList       time.Time // no list before
	cloudAvailable bool      // the cloud answered the latest call
}

func newProvisioner() provisioner {
	return provisioner{requests: map[string]*provisioningState{}, backoffs: map[capacityPool]*capacityBackoff{}}
}

// provisioningState is a provisioning request and what has become of it.
type provisioningState struct {
	records.ProvisioningRequest
	recorded     bool
	callInFlight bool // a call is under way
	resolved     bool // the outcome is known
	machineIDs   []string
	nextCall     time.Time // no call before
	obsolete     bool      // its record may go
}

func (p *provisioningState) pool() capacityPool { return capacityPool{p.Type, p.Zone, p.Spot} }

// capacityPool is what capacity is asked for in: a machine type in a zone, as spot
// machines or ordinary ones.
type capacityPool struct {
	machineType, zone string
	spot              bool
}

// capacityBackoff rests a pool that has no capacity.
type capacityBackoff struct {
	until time.Time
	delay time.Duration
}

// countUnrecorded returns how many requests wait to be recorded.
func (p *provisioner) countUnrecorded() (count int) {
	for _, request := range p.requests {
		if !request.recorded {
			count++
		}
	}
	return count
}

// backOff rests a pool after the cloud has refused it, for longer each time.
func (p *provisioner) backOff(pool capacityPool, now time.Time) {
	backoff := p.backoffs[pool]
	if backoff == nil {
		backoff = &capacityBackoff{delay: tuning.NoCapacityBackoff}
		p.backoffs[pool] = backoff
	} else {
		backoff.delay = min(2*backoff.delay, tuning.NoCapacityBackoffMax)
	}
	backoff.until = now.Add(backoff.delay)
}

// requestMachines makes a request for machines, as many as a call may ask for. It is
// sent once it is recorded. The rest is asked for after the answer: of a dozen calls
// made together most were refused for the reason of the first, and a hundred writes a
// minute went into requests that provisioned nothing.
func (l *Leader) requestMachines(pool capacityPool, count int, now time.Time) {
	l.provisioner.sequence++
	request := &provisioningState{ProvisioningRequest: records.ProvisioningRequest{
		// With the term the ID is unique over all leaders, for ever.
		ID:          fmt.Sprintf("r-%d-%d", l.leadership.Term, l.provisioner.sequence),
		Type:        pool.machineType,
		Zone:        pool.zone,
		Spot:        pool.spot,
		Count:       min(count, tuning.ProvisionMax),
		RequestedMS: now.UnixMilli(),
	}}
	l.provisioner.requests[request.ID] = request
	l.Log.Info("scaling out, the request is recorded and then sent", "request", request.ID,
		"type", request.Type, "zone", request.Zone, "spot", request.Spot, "count", request.Count)
}

// provisionResult is the cloud's answer to a request, or that there is none.
type provisionResult struct {
	request    *provisioningState
	machineIDs []string
	err        error
}

// callProvisioning calls the cloud for recorded requests whose outcome is not known.
func (l *Leader) callProvisioning(now time.Time) {
	for _, request := range l.provisioner.requests {
		if !request.recorded || request.callInFlight || request.resolved || now.Before(request.nextCall) {
			continue
		}
		request.callInFlight = true
		call := protocol.ProvisionRequest{RequestID: request.ID, Type: request.Type, Zone: request.Zone, Spot: request.Spot, Count: request.Count}
		go func() {
			machineIDs, err := l.Cloud.Provision(l.ctx, call)
			l.post(provisionResult{request, machineIDs, err})
		}()
	}
}

func (r provisionResult) apply(leader *Leader, now time.Time) {
	r.request.callInFlight = false
	leader.cycle.request()
	switch {
	case r.err == nil:
		leader.onProvisioned(r.request, r.machineIDs, now)
	case errors.Is(r.err, cloud.ErrNoCapacity):
		leader.provisioner.cloudAvailable = true
		leader.rejectRequest(r.request, now)
		leader.Log.Info("no capacity, the pool rests", "type", r.request.Type, "zone", r.request.Zone, "spot", r.request.Spot)
	default:
		// The outcome is not known or the cloud is down: the same request is sent
		// again, which provisions at most once.
		r.request.nextCall = now.Add(tuning.MachineBackoff)
		leader.provisioner.cloudAvailable = false
		leader.Log.Info("provisioning call failed, it is repeated", "request", r.request.ID, "err", r.err)
		if errors.Is(r.err, cloud.ErrInvalidRequest) {
			leader.rejectRequest(r.request, now)
		}
	}
}

// rejectRequest ends a request that has provisioned nothing and never will.
func (l *Leader) rejectRequest(request *provisioningState, now time.Time) {
	request.resolved, request.obsolete = true, true
	l.provisioner.backOff(request.pool(), now)
}

func (l *Leader) onProvisioned(request *provisioningState, machineIDs []string, now time.Time) {
	request.resolved, request.machineIDs = true, machineIDs
	l.provisioner.cloudAvailable = true
	for _, id := range machineIDs {
		if l.machines.wasRemoved(id) || l.machines.byID[id] != nil {
			continue
		}
		machine := l.machineByID(id, time.UnixMilli(request.RequestedMS))
		machine.Type, machine.Zone, machine.Spot = request.Type, request.Zone, request.Spot
		machine.ProvisionedAt = now
	}
	if len(machineIDs) < request.Count {
		l.provisioner.backOff(request.pool(), now)
	} else {
		delete(l.provisioner.backoffs, request.pool())
	}
	l.Log.Info("machines provisioned", "request", request.ID, "count", len(machineIDs), "requested", request.Count)
}
