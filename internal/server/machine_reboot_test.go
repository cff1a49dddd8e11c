package server

import (
	"slices"
	"testing"
	"time"

	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
)

// TestMachineRebootsAtOnce checks that the leader detects a reboot that takes only a moment,
// and does not wait for the machine's lease to expire before it restarts the tasks. The
// reboot ends all tasks of the machine and resets the agent's counters, so that its heartbeats
// look older than those from before the reboot.
func TestMachineRebootsAtOnce(t *testing.T) {
	t.Parallel()
	run(t, 136, func(c *testCluster) {
		c.runServiceAndArray(arrayJob(2, "check", 6), 40, 3)
		time.Sleep(20 * time.Second)
		c.env.Reboot(c.env.MachinesOf("req-000001")[0], 300*time.Millisecond)
		c.until("the replica on the rebooted machine runs again", 6*time.Second, func() bool { return len(c.env.MachinesOf("req-000001")) == 2 })
		c.untilDone(3*time.Minute, "req-000002")
	})
}

// TestLateCopyFromBeforeReboot checks that a copy of a heartbeat from before a machine's reboot
// ends no task that was started after it, whichever incarnation the agent was in before. The
// copy lists no tasks and has a higher number than all heartbeats since the reboot.
func TestLateCopyFromBeforeReboot(t *testing.T) {
	t.Parallel()
	for name, lostLease := range map[string]bool{"first incarnation": false, "second incarnation": true} {
		t.Run(name, func(t *testing.T) {
			run(t, 138, func(c *testCluster) { copyHeartbeatAfterReboot(c, lostLease) })
		})
	}
}

// copyHeartbeatAfterReboot reboots a machine, after it has lost its lease if lostLease is set,
// and delivers a copy of a heartbeat from before the reboot once tasks run on the machine again.
func copyHeartbeatAfterReboot(c *testCluster, lostLease bool) {
	c.submit(arrayJob(1, "check", 8), 20)
	c.untilDone(2*time.Minute, "req-000001")
	machine := c.env.Machines()[0]
	if lostLease {
		c.loseLease(machine)
	}
	time.Sleep(15 * time.Second) // the number of the agent's heartbeats becomes high
	deliverCopy := c.env.CopyLastHeartbeat(machine)
	c.env.Reboot(machine, 300*time.Millisecond)
	time.Sleep(5 * time.Second)
	c.submit(arrayJob(2, "check", 12), 20)
	c.until("a task runs on the machine that rebooted", 10*time.Second, func() bool {
		return slices.Contains(c.env.MachinesOf("req-000002"), machine)
	})
	time.Sleep(3 * time.Second)
	deliverCopy()
	c.untilDone(2*time.Minute, "req-000002")
}

// TestMachineRebootsWithLeader checks that tasks are started again that were on a machine when
// it rebooted and the leader was killed at the same moment. The agent had lost a lease before,
// so the records name its second incarnation, and after the reboot it is in its first.
func TestMachineRebootsWithLeader(t *testing.T) {
	t.Parallel()
	for name, cannotConnect := range map[string]bool{"agent in contact": false, "agent that cannot connect": true} {
		t.Run(name, func(t *testing.T) {
			run(t, 139, func(c *testCluster) {
				machine := c.runOnSecondIncarnation()
				old := c.killLeader()
				c.env.Reboot(machine, 0)
				if cannotConnect {
					c.blockOutbound(machine)
				}
				c.until("the tasks of the machine that rebooted are started again", testLease/2, func() bool {
					return len(c.env.MachinesOf("req-000002")) == 8
				})
				c.boot(old)
				c.expectRecovery()
			})
		})
	}
}

// loseLease keeps a machine's agent from sending heartbeats until its lease has expired.
func (c *testCluster) loseLease(machine string) {
	heal := c.network.BlockOutbound(machine)
	time.Sleep(testLease + 4*time.Second)
	heal()
}

// runOnSecondIncarnation runs the eight tasks of the job req-000002, and returns a machine with
// some of them whose agent is in its second incarnation. More machines have capacity for them.
func (c *testCluster) runOnSecondIncarnation() (machine string) {
	c.t.Helper()
	c.submit(arrayJob(1, "check", 16), 20)
	c.untilDone(2*time.Minute, "req-000001")
	machine = c.env.Machines()[0]
	c.loseLease(machine)
	time.Sleep(5 * time.Second)
	c.submit(arrayJob(2, "check", 8), 60)
	c.until("the tasks run, some of them on the machine", 30*time.Second, func() bool {
		machines := c.env.MachinesOf("req-000002")
		return len(machines) == 8 && slices.Contains(machines, machine)
	})
	time.Sleep(5 * time.Second)
	return machine
}

// fillMachines submits two arrays of both teams, with more tasks than all machines have room for.
// Their numbers begin at first, and each task runs for runS seconds.
func (c *testCluster) fillMachines(first int, runS float64) {
	c.t.Helper()
	c.submit(arrayJob(first, "check", 20), runS)
	other := arrayJob(first+1, "check", 20)
	other.Team = "blue"
	c.submit(other, runS)
}

// runsAnyOf reports whether a machine has a task of one of the jobs that has not exited.
func (c *testCluster) runsAnyOf(machine string, jobIDs ...protocol.JobID) bool {
	return slices.ContainsFunc(jobIDs, func(jobID protocol.JobID) bool { return slices.Contains(c.env.MachinesOf(jobID), machine) })
}

// TestMachineReturnsInLowerIncarnation checks that a machine is used again soon that rebooted
// while it was cut off, and was cut off for longer than an earlier leader could have renewed its
// lease. By then its tasks and the incarnation that the records name count as ended. The agent
// returns in its first incarnation, or in the second one after the reboot.
func TestMachineReturnsInLowerIncarnation(t *testing.T) {
	t.Parallel()
	for name, awayAfterReboot := range map[string]time.Duration{"first incarnation": 0, "second incarnation": testLease + 4*time.Second} {
		t.Run(name, func(t *testing.T) {
			run(t, 145, func(c *testCluster) {
				machine := c.runOnSecondIncarnation()
				c.env.SetCloudDown(true) // the machine is not deprovisioned
				heal := c.isolate(machine, fake.Reset, c.names...)
				c.boot(c.killLeader())
				longestLease := time.Duration(c.deployment.Workers.CancelS * float64(time.Second))
				time.Sleep(longestLease + 3*time.Second - awayAfterReboot)
				c.env.Reboot(machine, time.Second)
				time.Sleep(time.Second + awayAfterReboot)
				heal()
				c.fillMachines(3, 20)
				c.until("a task runs on the machine", 10*time.Second, func() bool { return c.runsAnyOf(machine, "req-000003", "req-000004") })
				c.expectRecovery()
			})
		})
	}
}

// TestLateCopyFromBeforeRebootReachesNewLeader checks that a copy of a heartbeat from before a
// machine's reboot ends no task when it is the first that a new leader receives from the machine.
// The copy is from a later incarnation than the records name.
func TestLateCopyFromBeforeRebootReachesNewLeader(t *testing.T) {
	t.Parallel()
	run(t, 146, func(c *testCluster) {
		c.submit(arrayJob(1, "check", 16), 20)
		c.untilDone(2*time.Minute, "req-000001")
		machine := c.env.Machines()[0]
		c.loseLease(machine)
		time.Sleep(5 * time.Second)
		deliverCopy := c.env.CopyLastHeartbeat(machine)
		c.env.Reboot(machine, 300*time.Millisecond)
		time.Sleep(5 * time.Second)
		c.fillMachines(2, 60)
		c.until("a task runs on the machine", 10*time.Second, func() bool { return c.runsAnyOf(machine, "req-000002", "req-000003") })
		time.Sleep(5 * time.Second)
		healAll := c.isolate(machine, fake.Reset, c.names...)
		c.boot(c.killLeader())
		c.until("a controller leads", 10*time.Second, func() bool { return c.leader() != "" })
		time.Sleep(time.Second)
		deliverCopy()
		time.Sleep(3 * time.Second)
		healAll()
		c.expectRecovery()
	})
}
