package server

import (
	"slices"
	"testing"
	"time"

	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
)

// TestLateCommands checks that an agent refuses direct commands that the network held back
// and delivers long after the leader has decided otherwise.
func TestLateCommands(t *testing.T) {
	t.Parallel()
	run(t, 20, func(c *testCluster) {
		c.submit(arrayJob(1, "warm", 1), 5)
		c.untilDone(2*time.Minute, "req-000001")
		leader := c.leader()
		machine := c.env.Machines()[0]
		heal := c.cut(leader, machine, fake.Hold)
		c.submit(arrayJob(2, "check", 12), 25)
		time.Sleep(9 * time.Second) // the machine counts as silent, not as lost
		c.env.Cancel("req-000002")
		c.submit(arrayJob(3, "check", 12), 25)
		time.Sleep(time.Second)
		heal()
		c.untilDone(4*time.Minute, "req-000003")
		time.Sleep(time.Minute)
	})
}

// TestPartitionAndHangDuringCancellation checks that a machine that is partitioned while the
// job of its tasks is cancelled has no tasks left once its lease has expired. A machine that
// hangs and resumes before its lease expires is allowed to continue its tasks until then.
func TestPartitionAndHangDuringCancellation(t *testing.T) {
	t.Parallel()
	run(t, 80, func(c *testCluster) {
		c.submit(serviceJob(1, 2), 0)
		c.until("both replicas run", 2*time.Minute, func() bool { return len(c.env.MachinesOf("req-000001")) == 2 })
		machines := c.env.MachinesOf("req-000001")
		heal := c.isolate(machines[0], fake.Hold, controllerNames...)
		resume := c.env.Hang(machines[1])
		c.env.Cancel("req-000001")
		time.Sleep(8 * time.Second)
		resume()
		time.Sleep(20 * time.Second)
		heal()
		time.Sleep(30 * time.Second)
		if machines := c.env.MachinesOf("req-000001"); len(machines) > 0 {
			t.Errorf("the cancelled job req-000001 still has tasks on %v", machines)
		}
	})
}

// TestGangStopAndRestart checks that a gang that loses a task stops as a whole and starts
// again as a whole, and that a gang with a task on a machine with a preemption notice is
// stopped in an orderly way.
func TestGangStopAndRestart(t *testing.T) {
	t.Parallel()
	run(t, 90, func(c *testCluster) {
		c.submit(gangJob(1, 3), 60)
		running := func() bool {
			_, jobStatus := c.env.QueryStatus("req-000001")
			return jobStatus.Running == 3 && len(c.env.MachinesOf("req-000001")) >= 2
		}
		c.until("the gang runs", 3*time.Minute, running)
		time.Sleep(15 * time.Second)
		c.env.Kill(c.env.MachinesOf("req-000001")[0])
		time.Sleep(30 * time.Second)
		c.until("the gang runs again", 3*time.Minute, running)
		c.env.NoticePreemption(c.env.MachinesOf("req-000001")[0], 15*time.Second)
		c.untilDone(5*time.Minute, "req-000001")
	})
}

// TestPreemptionNoticeCheckpoints checks that a task on a machine with a preemption notice
// saves a checkpoint before the cloud takes the machine.
func TestPreemptionNoticeCheckpoints(t *testing.T) {
	t.Parallel()
	run(t, 95, func(c *testCluster) {
		job := arrayJob(1, "check", 2)
		job.CheckpointIntervalS, job.CheckpointSaveS = 10, 3
		c.submit(job, 90)
		c.until("a task runs", time.Minute, func() bool { return len(c.env.MachinesOf(job.ID)) > 0 })
		time.Sleep(10 * time.Second)
		c.env.NoticePreemption(c.env.MachinesOf(job.ID)[0], 15*time.Second)
		time.Sleep(16 * time.Second)
		if c.env.SavedCheckpoints() == 0 {
			t.Error("no checkpoint was saved before the machine was preempted")
		}
		c.untilDone(4*time.Minute, job.ID)
	})
}

// TestUnreachableMachines checks that a single silent machine is deprovisioned, to prove that
// its tasks have ended, well before its lease expires. If many machines are silent, none is
// deprovisioned.
func TestUnreachableMachines(t *testing.T) {
	t.Parallel()
	run(t, 120, func(c *testCluster) {
		c.submit(serviceJob(1, 1), 0)
		c.submit(arrayJob(2, "fill", 8), 300)
		c.until("tasks of both jobs run", 2*time.Minute, func() bool {
			return len(c.env.MachinesOf("req-000001")) == 1 && len(c.env.MachinesOf("req-000002")) >= 2
		})
		time.Sleep(10 * time.Second)
		provisioned := c.env.MachinesProvisioned()
		heal := c.isolate(c.leader(), fake.Hold, c.env.Machines()...)
		time.Sleep(11 * time.Second)
		if n := len(c.env.Machines()); n < provisioned {
			t.Errorf("%d of %d machines are up after the leader was partitioned from all of them, want all", n, provisioned)
		}
		heal()
		time.Sleep(10 * time.Second)
		c.env.Kill(c.env.MachinesOf("req-000001")[0])
		c.until("the replica runs again, in place of tasks of lower priority", 11*time.Second, func() bool { return len(c.env.MachinesOf("req-000001")) == 1 })
	})
}

// TestManyMachinesDie checks that production tasks run again soon after several of their
// machines are killed at once, also if the leader is killed with them. The tasks must start
// again as soon as the machines are deprovisioned, which proves that the tasks on them have
// ended. The restart must not wait until the agents' leases have expired, nor until leases
// have expired that an earlier leader could have renewed. In an earlier version it did, and an
// eighth of the replicas of a large deployment were down for a minute.
func TestManyMachinesDie(t *testing.T) {
	t.Parallel()
	for i, killLeader := range []bool{false, true} {
		run(t, 111+uint64(i), func(c *testCluster) {
			machinesInUse := c.runServicePairs(12)
			time.Sleep(20 * time.Second) // the machines provisioned beyond the need are up
			for _, zone := range []string{"a", "b"} {
				for _, machine := range machinesInUse() {
					if c.env.Zone(machine) == zone {
						c.env.Kill(machine)
						break
					}
				}
			}
			if killLeader {
				c.kill(c.leader())
			}
			if len(machinesInUse()) > 22 {
				t.Fatal("killing a machine in each zone stopped fewer than 2 of 24 replicas")
			}
			c.until("all 24 replicas run again", 16*time.Second, func() bool { return len(machinesInUse()) == 24 })
		})
	}
}

// TestZonePartition checks that no rule is broken while two leaders act. The old leader has
// been deposed but cannot detect this, because it is partitioned from everything but the
// machines, as in a partitioned zone within which the hosts still reach each other.
func TestZonePartition(t *testing.T) {
	t.Parallel()
	run(t, 110, func(c *testCluster) {
		c.runServiceAndArray(arrayJob(2, "check", 16), 30, 1)
		old := c.leader()
		inside := c.env.MachinesOf("req-000001")[0]
		var healFuncs []func()
		for _, name := range controllerNames {
			if name != old {
				healFuncs = append(healFuncs, c.cut(old, name, fake.Hold), c.cut(inside, name, fake.Hold))
			}
		}
		healFuncs = append(healFuncs, c.isolate(old, fake.Hold, "state", "cloud", "users"))
		// With the cloud down the machine cannot be deprovisioned either. Its tasks end only
		// because the old leader stops answering heartbeats when its leader lease expires.
		c.env.SetCloudDown(true)
		time.Sleep(10 * time.Second)
		c.env.Cancel("req-000001")
		c.submit(serviceJob(3, 2), 0)
		time.Sleep(45 * time.Second)
		c.env.SetCloudDown(false)
		for _, heal := range healFuncs {
			heal()
		}
		c.untilDone(4*time.Minute, "req-000002")
		c.until("both replicas of the new service req-000003 run", time.Minute, func() bool { return len(c.env.MachinesOf("req-000003")) == 2 })
	})
}

// TestAllMachinesDie checks the recovery after all machines are killed. No controller receives
// heartbeats then, so leaders must not keep giving up the term to each other: only a leader
// that keeps its term until the agents' leases have certainly expired can conclude that the
// tasks have ended. In an earlier version there were 95 terms, and the jobs waited without
// end.
func TestAllMachinesDie(t *testing.T) {
	t.Parallel()
	run(t, 140, func(c *testCluster) {
		for _, zone := range []string{"a", "b"} {
			c.env.LimitCapacity("small", zone, true, 5)
			c.env.LimitCapacity("small", zone, false, 0)
		}
		for i := range 10 {
			job := arrayJob(1+i, "check", 1) // each task needs a whole small machine
			job.Cores, job.MachineTypes = 4, []string{"small"}
			c.submit(job, 60)
		}
		c.until("every job has a task on a machine", 2*time.Minute, func() bool {
			return !slices.ContainsFunc(c.jobs, func(jobID protocol.JobID) bool { return len(c.env.MachinesOf(jobID)) == 0 })
		})
		c.env.SetCloudDown(true) // no machine can be deprovisioned to prove that its tasks have ended
		for _, machine := range c.env.Machines() {
			c.env.Kill(machine)
		}
		time.Sleep(20 * time.Second)
		c.kill(c.leader()) // the next leader has never received a heartbeat of the killed machines
		time.Sleep(2 * time.Minute)
		c.env.SetCloudDown(false)
		c.untilDone(4*time.Minute, c.jobs...)
		if terms := c.latestTerm(); terms > 4 {
			t.Errorf("there were %d terms, want at most 4", terms)
		}
	})
}
