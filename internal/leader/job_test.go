package leader

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// When a job is restored from its records, the waiting tasks are exactly those that are
// neither done nor possibly on a machine. The lowest numbers are taken first.
func TestRestoredJobWaits(t *testing.T) {
	now := time.Now()
	open := &records.OpenJob{Job: protocol.Job{ID: "req-1", Kind: protocol.KindArray, Tasks: 10}}
	job := newJob("req-1", open, 1, now)
	job.restore(&records.RunRecord{NextAttempt: 9, Done: records.TaskRanges{{0, 1}, {4, 4}}, Placements: []records.Placement{{Task: 6, Attempt: 8}}})
	job.placements[6] = &cluster.Placement{TaskKey: cluster.TaskKey{Job: "req-1", Task: 6}, Machine: &cluster.Machine{ID: "m"}}
	var got []int
	for job.waitingTasks() > 0 {
		task := job.takeTask()
		job.placements[task] = &cluster.Placement{TaskKey: cluster.TaskKey{Job: "req-1", Task: task}, Machine: &cluster.Machine{ID: "m"}}
		got = append(got, task)
	}
	if diff := cmp.Diff([]int{2, 3, 5, 7, 8, 9}, got); diff != "" {
		t.Errorf("tasks taken (-want +got): %s", diff)
	}
	if record := job.segmentRecord(0); len(record.Placements) != 7 || record.NextAttempt != 9 || record.Done.Count() != 3 {
		t.Errorf("the run record is %+v", record)
	}
}

// The tasks of a gang start together: none waits to be started while a member may be on a
// machine.
func TestGangStartsWhole(t *testing.T) {
	job := newJob("req-1", &records.OpenJob{Job: protocol.Job{ID: "req-1", Kind: protocol.KindGang, Tasks: 3}}, 1, time.Now())
	if job.waitingTasks() != 3 {
		t.Errorf("%d tasks wait, want 3", job.waitingTasks())
	}
	job.placements[job.takeTask()] = &cluster.Placement{}
	if job.waitingTasks() != 0 {
		t.Errorf("%d tasks wait while a member may run", job.waitingTasks())
	}
}
