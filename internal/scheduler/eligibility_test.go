package scheduler

import (
	"testing"

	"marblehaven/internal/protocol"
)

// A task on a machine of unknown zone, as after a failover, could be in any zone. If the
// task did not count in each zone, too many tasks of a spread service would be placed in
// one zone after a failover.
func TestUnknownZoneCounts(t *testing.T) {
	cases := []struct {
		name        string
		spec        protocol.Job
		tasksByZone map[string]int
	}{
		{"two of a spread job may be there already", protocol.Job{Tasks: 4, Spread: true}, map[string]int{"a": 1, "": 1}},
		{"another zone may be in use by a job for one zone", protocol.Job{Tasks: 4, OneZone: true}, map[string]int{"": 1}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if n := ZoneCapacity(&test.spec, test.tasksByZone, "a"); n != 0 {
				t.Errorf("capacity for %d more tasks, want none", n)
			}
		})
	}
}
