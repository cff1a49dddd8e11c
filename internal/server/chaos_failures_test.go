package server

import "time"

// restartController kills a controller and starts it again 1 to 5 s later.
func (r *chaosRun) restartController(target chaosTarget) {
	r.kill(target.controller)
	r.runAfter(r.seconds(1, 6), func() { r.boot(target.controller) })
	time.Sleep(6 * time.Second)
}

// partitionFromStore cuts a controller off from the key-value store.
func (r *chaosRun) partitionFromStore(target chaosTarget) {
	r.runAfter(r.seconds(3, 40), r.cut(target.controller, "state", target.cutMode))
}

// refuseController makes the key-value store refuse one controller.
func (r *chaosRun) refuseController(target chaosTarget) {
	r.env.Store.SetUnavailable(target.controller, true)
	r.runAfter(r.seconds(3, 40), func() { r.env.Store.SetUnavailable(target.controller, false) })
}

// refuseAllControllers makes the key-value store refuse all controllers, with a probability
// of one in three.
func (r *chaosRun) refuseAllControllers(chaosTarget) {
	if r.rng.IntN(3) == 0 {
		r.env.Store.SetUnavailable("", true)
		r.runAfter(r.seconds(3, 40), func() { r.env.Store.SetUnavailable("", false) })
	}
}

// partitionMachine cuts a machine off from all controllers.
func (r *chaosRun) partitionMachine(target chaosTarget) {
	if target.machine != "" {
		r.runAfter(r.seconds(3, 40), r.isolate(target.machine, target.cutMode, r.names...))
	}
}

// hangMachine makes a machine hang for some time.
func (r *chaosRun) hangMachine(target chaosTarget) {
	if target.machine != "" {
		r.runAfter(r.seconds(3, 40), r.env.Hang(target.machine))
	}
}

// killMachine removes a machine without notice. The machine does not come back.
func (r *chaosRun) killMachine(target chaosTarget) {
	if target.machine != "" {
		r.env.Kill(target.machine)
	}
}

// rebootMachine reboots a machine, which is back within 3 s. Copies of its heartbeats from before
// the reboot arrive later.
func (r *chaosRun) rebootMachine(target chaosTarget) {
	downtime := time.Duration(r.rng.IntN(3000)) * time.Millisecond
	if target.machine != "" {
		r.env.Reboot(target.machine, downtime)
	}
}

// rebootMachineAndKillLeader kills the leader at the moment at which a machine reboots, and starts
// it again 1 to 5 s later. One machine in two cannot open connections meanwhile.
func (r *chaosRun) rebootMachineAndKillLeader(target chaosTarget) {
	r.rebootMachine(target)
	cannotConnect, pause := r.rng.IntN(2) == 0, r.seconds(1, 6)
	if cannotConnect && target.machine != "" {
		r.runAfter(pause, r.network.BlockOutbound(target.machine))
	}
	if old := r.killLeader(); old != "" {
		r.runAfter(pause, func() { r.boot(old) })
		time.Sleep(6 * time.Second)
	}
}

// partitionControllerFromMachine cuts the link between one controller and one machine.
func (r *chaosRun) partitionControllerFromMachine(target chaosTarget) {
	if target.machine != "" {
		r.runAfter(r.seconds(3, 40), r.cut(target.controller, target.machine, target.cutMode))
	}
}

// restartControllerRepeatedly restarts a controller up to three times, each time within
// less than a second. Another controller may be winning the term meanwhile.
func (r *chaosRun) restartControllerRepeatedly(target chaosTarget) {
	for range 1 + r.rng.IntN(3) {
		r.kill(target.controller)
		time.Sleep(time.Duration(r.rng.IntN(400)) * time.Millisecond)
		r.boot(target.controller)
		time.Sleep(time.Duration(r.rng.IntN(400)) * time.Millisecond)
	}
}

// holdInboundOfMachine starts a one-way partition: the controllers receive the machine's
// heartbeats, but the machine receives neither replies nor commands.
func (r *chaosRun) holdInboundOfMachine(target chaosTarget) {
	if target.machine != "" {
		r.runAfter(r.seconds(3, 40), r.network.HoldInbound(target.machine))
	}
}

// partitionFromStoreAndPeers cuts a controller off from the key-value store and all other
// controllers, so that it reaches only agents, users and the cloud.
func (r *chaosRun) partitionFromStoreAndPeers(target chaosTarget) {
	r.runAfter(r.seconds(3, 60), r.cut(target.controller, "state", target.cutMode))
	for _, other := range r.names {
		if other != target.controller {
			r.runAfter(r.seconds(3, 60), r.cut(target.controller, other, target.cutMode))
		}
	}
}

// partitionFromPeers cuts a controller off from all other controllers.
func (r *chaosRun) partitionFromPeers(target chaosTarget) {
	for _, other := range r.names {
		if other != target.controller {
			r.runAfter(r.seconds(3, 40), r.cut(target.controller, other, target.cutMode))
		}
	}
}

// partitionFromMachines cuts a controller off from all machines: the leader with a
// probability of two in three, otherwise the step's target.
func (r *chaosRun) partitionFromMachines(target chaosTarget) {
	if leader := r.leader(); leader != "" && r.rng.IntN(3) > 0 {
		target.controller = leader
	}
	r.runAfter(r.seconds(3, 60), r.isolate(target.controller, target.cutMode, target.machines...))
}

// partitionZone cuts zone a, with every second controller in it, off from everything else.
func (r *chaosRun) partitionZone(target chaosTarget) {
	var inside, outside []string
	for i, name := range r.names {
		if i%2 == 0 {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	for _, machine := range target.machines {
		if r.env.Zone(machine) == "a" {
			inside = append(inside, machine)
		} else {
			outside = append(outside, machine)
		}
	}
	outside = append(outside, "state", "cloud", "users")
	var healFuncs []func()
	for _, host := range inside {
		healFuncs = append(healFuncs, r.isolate(host, target.cutMode, outside...))
	}
	r.runAfter(r.seconds(3, 40), func() {
		for _, heal := range healFuncs {
			heal()
		}
	})
}

// blockOutboundOfMachine starts a one-way partition: commands reach the machine and are
// answered, but the machine cannot open connections.
func (r *chaosRun) blockOutboundOfMachine(target chaosTarget) {
	if target.machine != "" {
		r.runAfter(r.seconds(3, 40), r.network.BlockOutbound(target.machine))
	}
}

// blockOutboundOfAllMachines keeps all machines from opening connections for 13 to 24 s,
// which is longer than an agent's lease.
func (r *chaosRun) blockOutboundOfAllMachines(target chaosTarget) {
	for _, machine := range target.machines {
		r.runAfter(r.seconds(13, 25), r.network.BlockOutbound(machine))
	}
}

// commitLate makes the key-value store answer some transactions with a gateway error, which
// leaves their outcome unknown to the senders, and execute them later.
func (r *chaosRun) commitLate(chaosTarget) {
	r.env.Store.SetExecutionDelay(r.lateCommits(0.15))
	r.runAfter(r.seconds(5, 30), func() { r.env.Store.SetExecutionDelay(nil) })
}

// hangMachineInCommand makes a machine hang after it has executed a command and before it
// answers.
func (r *chaosRun) hangMachineInCommand(target chaosTarget) {
	if target.machine != "" {
		r.env.HangInCommand(target.machine, r.seconds(1, 25))
	}
}

// cancelAsStoreRefusesLeader cancels a job right after the key-value store has begun to
// refuse the leader. A second later the store refuses all controllers.
func (r *chaosRun) cancelAsStoreRefusesLeader(target chaosTarget) {
	if leader := r.leader(); leader != "" {
		target.controller = leader
	}
	r.env.Store.SetUnavailable(target.controller, true)
	r.cancelLastJob()
	time.Sleep(time.Second)
	r.env.Store.SetUnavailable("", true)
	r.runAfter(r.seconds(38, 60), func() {
		r.env.Store.SetUnavailable("", false)
		r.env.Store.SetUnavailable(target.controller, false)
	})
}

// cancelLastJob cancels the last of the jobs that must finish, and removes it from them.
func (r *chaosRun) cancelLastJob() {
	r.jobsMu.Lock()
	defer r.jobsMu.Unlock()
	if last := len(r.mustFinish) - 1; last >= 0 {
		jobID := r.mustFinish[last]
		r.mustFinish = r.mustFinish[:last]
		go r.env.Cancel(jobID)
	}
}

// submitInvalidJobs submits a job that lacks a field and one that fits no machine type.
func (r *chaosRun) submitInvalidJobs(chaosTarget) {
	invalid := arrayJob(900000+r.submitted, "check", 1)
	go r.env.SubmitInvalid(invalid, func(m map[string]any) { delete(m, "imageGb") }, 400)
	go r.env.SubmitInvalid(invalid, func(m map[string]any) { m["cores"] = 17 }, 422)
}

// failCommits makes the key-value store lose some transactions or their answers, and
// refuse others.
func (r *chaosRun) failCommits(chaosTarget) {
	r.env.Store.SetFault(r.faultyCommits())
	r.runAfter(r.seconds(5, 40), func() { r.env.Store.SetFault(nil) })
}
