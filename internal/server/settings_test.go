package server

import (
	"testing"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/tuning"
)

// TestSmallestSettings checks a deployment with one zone, one machine type without spot
// instances, a quota beyond all capacity, a team that nobody uses, and the shortest times
// that the settings accept: submitted jobs run while the leader is killed and restarted, and
// the tasks of a cancelled job end within cancel_s.
func TestSmallestSettings(t *testing.T) {
	t.Parallel()
	dep := testDeployment()
	dep.Zones = []string{"a"}
	dep.Teams = []config.Team{{Name: "red", GuaranteedCores: 1e6}, {Name: "unused", GuaranteedCores: 10, CoresMax: 20}}
	dep.Workers.ReportS = dep.Workers.LeaseS / 3
	dep.Workers.CancelS = dep.Workers.LeaseS + (tuning.LeaderLeaseMargin + tuning.LeaderLeaseMin).Seconds()
	runInDeployment(t, 902, controllerNames, dep, func(c *testCluster) {
		for _, machineType := range testMachineTypes {
			for _, zone := range machineType.Zones {
				for _, spot := range []bool{false, true} {
					if spot || zone != "a" || machineType.Name != "big" {
						c.env.LimitCapacity(machineType.Name, zone, spot, 0)
					}
				}
			}
		}
		for i := range 4 {
			c.submit(arrayJob(1+i, "check", 40), 20)
		}
		c.until("a task of the last job runs", 2*time.Minute, func() bool { return len(c.env.MachinesOf(testJobID(4))) > 0 })
		c.boot(c.killLeader())
		c.env.Cancel(testJobID(4))
		c.untilDone(5*time.Minute, c.jobs[:3]...)
		if c.env.LeaseExpiriesWithTasks() > 0 {
			t.Errorf("%d leases of agents with tasks expired, want none", c.env.LeaseExpiriesWithTasks())
		}
	})
}
