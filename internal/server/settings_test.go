package server

import (
	"testing"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/tuning"
)

// A deployment with one zone, one type of machine, none of them cheap, a guarantee beyond
// all capacity, a team that nobody uses, and the shortest times that are accepted: what
// users submit runs, through an end of the leader, and what they cancel is gone in time.
func TestSmallestSettings(t *testing.T) {
	t.Parallel()
	d := testDeployment()
	d.Zones = []string{"a"}
	d.Teams = []config.Team{{Name: "red", Cores: 1e6}, {Name: "unused", Cores: 10, CoresMax: 20}}
	d.Workers.ReportS = d.Workers.LeaseS / 3
	d.Workers.CancelS = d.Workers.LeaseS + (tuning.LeaderLeaseMargin + tuning.LeaderLeaseMin).Seconds()
	runIn(t, 902, controllerNames, d, func(c *testCluster) {
		for _, typ := range testTypes {
			for _, zone := range typ.Zones {
				for _, spot := range []bool{false, true} {
					if spot || zone != "a" || typ.Name != "big" {
						c.env.Limit(typ.Name, zone, spot, 0)
					}
				}
			}
		}
		for i := range 4 {
			c.submit(arrayJob(1+i, "check", 40), 20)
		}
		c.until("some run", 2*time.Minute, func() bool { return len(c.env.MachinesOf(testJobID(4))) > 0 })
		c.boot(c.killLeader())
		c.env.Cancel(testJobID(4))
		c.untilDone(5*time.Minute, c.jobs[:3]...)
		if c.env.LeaseExpiries() > 0 {
			t.Errorf("%d leases expired", c.env.LeaseExpiries())
		}
	})
}
