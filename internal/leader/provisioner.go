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

// provisioner requests machines from the cloud and deprovisions them, within the call
// budget. A request is recorded before the call, so that a new leader can repeat the
// call: a request with the same ID provisions at most once.
type provisioner struct {
	requests map[string]*provisioningState // by ID
	sequence int                           // number of the latest request of this term
	backoffs map[capacityPool]*capacityBackoff

	deprovisionQueue    []*cluster.Machine
	deprovisionInFlight []*cluster.Machine // in the call in flight
	nextDeprovision     time.Time          // the earliest time of the next call

	listed         bool // a machine list was read in this term
	listInFlight   bool
	nextList       time.Time // the earliest time of the next read
	cloudAvailable bool      // the cloud answered the latest call
}

func newProvisioner() provisioner {
	return provisioner{requests: map[string]*provisioningState{}, backoffs: map[capacityPool]*capacityBackoff{}}
}

// provisioningState is a provisioning request and the state of its call.
type provisioningState struct {
	records.ProvisioningRequest
	recorded     bool
	callInFlight bool // a call is in flight
	resolved     bool // the outcome is known
	machineIDs   []string
	nextCall     time.Time // the earliest time of the next call
	obsolete     bool      // its record may be deleted
}

func (p *provisioningState) pool() capacityPool { return capacityPool{p.Type, p.Zone, p.Spot} }

// capacityPool is what the cloud provisions machines from: a machine type in a zone, as
// spot instances or not.
type capacityPool struct {
	machineType, zone string
	spot              bool
}

// capacityBackoff delays further requests to a pool that has no capacity.
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

// backOff delays further requests to a pool after the cloud has refused one. The delay
// doubles with each refusal in a row, up to tuning.NoCapacityBackoffMax.
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

// requestMachines creates a request for machines, at most as many as one call may request.
// The request is sent once it is recorded. The rest is requested after the answer: of
// a dozen calls made together, most would be refused for the same reason as the first, and
// a hundred writes a minute would be spent on requests that provision nothing.
func (l *Leader) requestMachines(pool capacityPool, count int, now time.Time) {
	l.provisioner.sequence++
	request := &provisioningState{ProvisioningRequest: records.ProvisioningRequest{
		// The term makes the ID unique among the requests of all leaders.
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

// provisionResult is the outcome of a provisioning call: the IDs of the machines, or the
// error if the cloud refused the request or gave no usable answer.
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
		leader.Log.Info("no capacity, requests to the pool back off", "type", r.request.Type, "zone", r.request.Zone, "spot", r.request.Spot)
	default:
		// The outcome is unknown or the cloud is unavailable. The same request is sent
		// again, since its ID provisions at most once. Only a request that the cloud has
		// rejected as invalid is not sent again.
		r.request.nextCall = now.Add(tuning.MachineBackoff)
		leader.provisioner.cloudAvailable = false
		leader.Log.Info("provisioning call failed, it is repeated unless the request was rejected", "request", r.request.ID, "err", r.err)
		if errors.Is(r.err, cloud.ErrInvalidRequest) {
			leader.rejectRequest(r.request, now)
		}
	}
}

// rejectRequest resolves a request that has provisioned nothing and never will, and delays
// further requests to its pool.
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
		machine := l.ensureMachine(id, time.UnixMilli(request.RequestedMS))
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
