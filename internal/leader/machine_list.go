package leader

import (
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// machineListResult is the cloud's list of machines. The list lags: it may lack new
// machines and name machines that no longer exist.
type machineListResult struct {
	began    time.Time
	machines []protocol.ListedMachine
	err      error
}

// refreshMachineList reads the cloud's list of machines when that is due.
func (l *Leader) refreshMachineList(now time.Time) {
	if l.provisioner.listInFlight || !now.After(l.provisioner.nextList) {
		return
	}
	l.provisioner.listInFlight = true
	l.provisioner.nextList = now.Add(l.listInterval())
	go func() {
		machines, err := l.Cloud.ListMachines(l.ctx)
		l.post(machineListResult{now, machines, err})
	}()
}

// listInterval is the pause between two reads of the machine list. Each page takes a call,
// so the pause grows with the number of machines: reads take at most tuning.ListShare of
// the call budget.
func (l *Leader) listInterval() time.Duration {
	pages := float64(len(l.machines.byID)/tuning.MachineListPageSize + 1)
	callsPerSecond := l.Config.Deployment.Cloud.RPS * l.Config.Operator.CloudCallShare
	return max(tuning.ListInterval, seconds(pages/(callsPerSecond*tuning.ListShare)))
}

func (r machineListResult) apply(leader *Leader, now time.Time) { leader.onMachineList(r, now) }

func (l *Leader) onMachineList(result machineListResult, now time.Time) {
	l.provisioner.listInFlight = false
	l.provisioner.cloudAvailable = result.err == nil
	if result.err != nil {
		l.Log.Debug("reading the machine list failed, it is retried after the list interval", "err", result.err)
		return
	}
	if !l.provisioner.listed {
		l.provisioner.listed = true
		l.cycle.request()
	}
	var failed []*cluster.Machine
	listed := map[string]bool{}
	for i := range result.machines {
		entry := &result.machines[i]
		listed[entry.ID] = true
		if l.machines.wasRemoved(entry.ID) {
			continue
		}
		machine := l.applyListedMachine(entry, now)
		if entry.State == protocol.MachineFailed && !machine.Deprovisioning {
			failed = append(failed, machine)
		}
	}
	l.deprovision(failed, "failed", now)
	l.planHandshakes(now)
	lag := tuning.ListLagFactor * l.Config.Deployment.Cloud.ListLag()
	l.machines.pruneRemoved(result.began, lag)
	l.markObsoleteRequests(listed)
}

// applyListedMachine applies an entry of the list and returns the machine. An entry
// proves nothing about a machine that the leader already has: only missing properties
// are filled in.
func (l *Leader) applyListedMachine(entry *protocol.ListedMachine, now time.Time) *cluster.Machine {
	isNew := l.machines.byID[entry.ID] == nil
	machine := l.ensureMachine(entry.ID, now)
	if isNew || machine.Type == "" {
		machine.Type, machine.Zone, machine.Spot = entry.Type, entry.Zone, entry.Spot
		machine.ProvisionedAt = now.Add(-seconds(entry.AgeS))
	}
	if !machine.Up && machine.Addr == "" && entry.Addr != "" && entry.State != protocol.MachineStarting {
		machine.Addr = entry.Addr
	}
	return machine
}

// markObsoleteRequests marks the provisioning requests whose records may be deleted: a new
// leader would find all their machines in the list or by their heartbeats.
func (l *Leader) markObsoleteRequests(listed map[string]bool) {
	for _, request := range l.provisioner.requests {
		if !request.resolved || request.obsolete {
			continue
		}
		allFound := true
		for _, id := range request.machineIDs {
			machine := l.machines.byID[id]
			allFound = allFound && (listed[id] || l.machines.wasRemoved(id) || (machine != nil && machine.Up))
		}
		request.obsolete = allFound
	}
}
