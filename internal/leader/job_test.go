package leader

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// A job restored from its records waits for exactly what is neither done nor
// possibly on a machine, the lowest numbers first.
func TestRestoredJobWaits(t *testing.T) {
	now := time.Now()
	o := &records.OpenJob{Job: protocol.Job{ID: "req-1", Kind: protocol.KindArray, Tasks: 10}}
	job := newJob("req-1", o, 1, now)
	job.restore(&records.RunRecord{NextAttempt: 9, Done: records.TaskRanges{{0, 1}, {4, 4}}, Placements: []records.Placement{{Task: 6, Attempt: 8}}})
	job.placements[6] = &cluster.Placement{TaskKey: cluster.TaskKey{Job: "req-1", Task: 6}, Machine: &cluster.Machine{ID: "m"}}
	var got []int
	for job.waitingTasks() > 0 {
		n := job.takeTask()
		job.placements[n] = &cluster.Placement{TaskKey: cluster.TaskKey{Job: "req-1", Task: n}, Machine: &cluster.Machine{ID: "m"}}
		got = append(got, n)
	}
	if d := cmp.Diff([]int{2, 3, 5, 7, 8, 9}, got); d != "" {
		t.Error(d)
	}
	if r := job.segmentRecord(0); len(r.Placements) != 7 || r.NextAttempt != 9 || r.Done.Count() != 3 {
		t.Errorf("recorded as %+v", r)
	}
}

// A gang starts whole: nothing waits while a member may be on a machine.
func TestGangStartsWhole(t *testing.T) {
	job := newJob("req-1", &records.OpenJob{Job: protocol.Job{ID: "req-1", Kind: protocol.KindGang, Tasks: 3}}, 1, time.Now())
	if job.waitingTasks() != 3 {
		t.Errorf("%d wait", job.waitingTasks())
	}
	job.placements[job.takeTask()] = &cluster.Placement{}
	if job.waitingTasks() != 0 {
		t.Errorf("%d wait while one may run", job.waitingTasks())
	}
}
