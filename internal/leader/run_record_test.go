package leader

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"marblehaven/internal/cluster"
	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
	"marblehaven/internal/tuning"
)

// taskState is the state of a task in the reference model: 0 if nothing was recorded, the
// attempt of a placement, or completed.
type taskState int

const completed taskState = -1

// stateOf returns the states of all tasks according to a record.
func stateOf(record *records.RunRecord, tasks int) []taskState {
	states := make([]taskState, tasks)
	for _, placement := range record.Placements {
		states[placement.Task] = taskState(placement.Attempt)
	}
	for task := range states {
		if record.Done.Has(task) {
			states[task] = completed
		}
	}
	return states
}

// Segments of a run record are written in any order, beginning before the record is
// split, and read at any time. Each task then has the state of the last write that
// contained it: no recorded state is missing, and no older one returns.
func TestSegmentsComparedWithModel(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for range 200 {
		tasks := 1 + rng.IntN(200)
		job := newJob("req-1", &records.OpenJob{Job: protocol.Job{ID: "req-1", Kind: protocol.KindArray, Tasks: tasks}}, 1, time.Now())
		leader := &Leader{formats: formatVersions{cluster: records.FormatWhole}}
		leader.Store = kvstore.New("state:1", &recordingTransport{}, nil, config.State{StateLimits: config.StateLimits{ValueKB: float64(1 + rng.IntN(8))}})
		machine := &cluster.Machine{ID: "m-000001"}
		stored := map[int]records.RunRecord{}
		model := make([]taskState, tasks)
		for step := range 100 {
			switch rng.IntN(4) {
			case 0, 1:
				task := rng.IntN(tasks)
				changeTask(job, task, machine, rng)
				leader.markDirty(job, task, rng.IntN(2) == 0, time.Now())
			case 2:
				writeSegment(job, rng, stored, model, protocol.Version(step+2))
			case 3:
				if rng.IntN(5) == 0 {
					leader.formats.cluster = records.FormatSegmented
				}
				if leader.formats.cluster >= records.FormatSegmented && rng.IntN(4) == 0 {
					job.splitSegments(false, time.Now())
				}
			}
			whole := records.JoinSegments(stored)
			if diff := cmp.Diff(model, stateOf(&whole, tasks)); diff != "" {
				t.Fatalf("%d tasks, step %d: joined segments differ from the model (-model +segments): %s", tasks, step, diff)
			}
		}
	}
}

// changeTask starts a task, completes it, or withdraws its placement.
func changeTask(job *jobState, task int, machine *cluster.Machine, rng *rand.Rand) {
	switch {
	case job.doneTasks.Has(task):
	case job.placements[task] == nil:
		job.placements[task] = &cluster.Placement{TaskKey: cluster.TaskKey{Job: job.id, Task: task}, Attempt: job.nextAttempt, Machine: machine}
		job.nextAttempt++
	case rng.IntN(2) == 0:
		delete(job.placements, task)
	default:
		delete(job.placements, task)
		job.doneTasks.Add(task)
	}
}

// writeSegment writes one of the segments that are out of date.
func writeSegment(job *jobState, rng *rand.Rand, stored map[int]records.RunRecord, model []taskState, version protocol.Version) {
	var dirty []int
	for number := range job.segments {
		if job.segments[number].dirty {
			dirty = append(dirty, number)
		}
	}
	if len(dirty) == 0 {
		return
	}
	number := dirty[rng.IntN(len(dirty))]
	for task := range model {
		if !job.segmentHolds(number, task) {
			continue
		}
		model[task] = 0
		if placement := job.placements[task]; placement != nil {
			model[task] = taskState(placement.Attempt)
		}
		if job.doneTasks.Has(task) {
			model[task] = completed
		}
	}
	stored[number] = job.segmentRecord(number)
	segment := job.segment(number)
	segment.version, segment.dirty, segment.startsWait = version, false, false
}

// A record of the whole job that exceeds the limits after they have become smaller is
// split. Its other segments are written first, no running task is withdrawn, and each
// segment fits.
func TestSplitLargeRecord(t *testing.T) {
	leader, now := newLoadedLeader(0, 1)
	limits := leader.Config.Deployment.State
	value := tuning.ValueMinKB
	limits.Next.ValueKB = &value
	leader.Store = kvstore.New("state:1", &recordingTransport{}, httpclient.NewMalformedLog(leader.Log), limits)
	leader.useFormat(records.FormatSegmented)
	job := leader.jobs.open["req-000000"]
	job.spec.Tasks = 300
	machine := &cluster.Machine{ID: "m-000001", Placements: map[cluster.TaskKey]*cluster.Placement{}}
	for task := range 300 {
		placement := &cluster.Placement{TaskKey: cluster.TaskKey{Job: job.id, Task: task}, Attempt: job.nextAttempt, Machine: machine, Recorded: true, Sent: true}
		job.placements[task], machine.Placements[placement.TaskKey] = placement, placement
		job.nextAttempt++
	}
	job.segment(0).version = 1
	leader.endPlacements([]cluster.EndedPlacement{{Placement: job.placements[3], ExitReason: protocol.ExitDone}}, now)
	stored := map[int]records.RunRecord{0: {NextAttempt: job.nextAttempt}}
	for commits := 0; job.segment(0).dirty; commits++ {
		if commits > 20 {
			t.Fatal("the run record is still not written after the last commit allowed")
		}
		now = now.Add(time.Second)
		batch := &commitBatch{maxMutations: 6}
		later := now.Add(time.Minute)
		leader.addPendingWrites(batch, leader.pendingWrites(later), 1000, later)
		for i, write := range batch.segments {
			raw := batch.transaction.Mutations[i].Value.(msgpack.RawMessage)
			if size, err := codec.JSONSize(raw); err != nil || size > leader.Store.MaxValueBytes() {
				t.Errorf("segment %d has %d bytes, error %v", write.number, size, err)
			}
			var record records.RunRecord
			if err := codec.Unmarshal(raw, &record); err != nil {
				t.Fatal(err)
			}
			stored[write.number] = record
			leader.onSegmentWritten(write, protocol.Revision(commits+2))
		}
	}
	whole := records.JoinSegments(stored)
	if len(job.placements) != 299 || len(whole.Placements) != 299 || whole.Done.Count() != 1 {
		t.Errorf("%d tasks run; recorded are %d placements and done tasks %v", len(job.placements), len(whole.Placements), whole.Done)
	}
}

// A segment fits in the smallest value limit that the settings accept, whatever the
// states of its tasks are.
func TestSegmentFits(t *testing.T) {
	for _, share := range []int{0, 2, 3, 1000} {
		job := newJob("req-1", &records.OpenJob{Job: protocol.Job{ID: "req-1", Tasks: tuning.MaxTasks, Spread: true}}, 1, time.Now())
		job.nextAttempt = 900 << tuning.TermShift
		number := records.SegmentCount(tuning.MaxTasks) - 1
		for task := number * tuning.SegmentTasks; task < tuning.MaxTasks; task++ {
			if share > 0 && task%share == 0 {
				job.doneTasks.Add(task)
				continue
			}
			job.placements[task] = &cluster.Placement{TaskKey: cluster.TaskKey{Task: task}, Attempt: job.nextAttempt, Incarnation: 99,
				Machine: &cluster.Machine{ID: "m-123456", Zone: "north-west-10"}}
		}
		raw, err := codec.Marshal(job.segmentRecord(number))
		if err != nil {
			t.Fatal(err)
		}
		if size, err := codec.JSONSize(raw); err != nil || size > tuning.ValueMinKB*1024 {
			t.Errorf("segment has %d bytes, error %v", size, err)
		}
	}
}
