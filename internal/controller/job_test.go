package controller

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"marblehaven/internal/fleet"
	"marblehaven/internal/ledger"
	"marblehaven/internal/wire"
)

// A job restored from its records waits for exactly what is neither done nor
// possibly on a machine, the lowest numbers first.
func TestRestore(t *testing.T) {
	now := time.Now()
	o := &ledger.OpenJob{Job: wire.Job{ID: "req-1", Shape: wire.Array, Tasks: 10}}
	j := newJob("req-1", o, 1, now)
	j.restore(&ledger.Run{Next: 9, Done: ledger.Ranges{{0, 1}, {4, 4}}, Live: []ledger.Placement{{Task: 6, Attempt: 8}}}, 2)
	j.live[6] = &fleet.Placement{Key: fleet.Key{Job: "req-1", Task: 6}, Machine: &fleet.Machine{ID: "m"}}
	var got []int
	for j.waiting() > 0 {
		n := j.take()
		j.live[n] = &fleet.Placement{Key: fleet.Key{Job: "req-1", Task: n}, Machine: &fleet.Machine{ID: "m"}}
		got = append(got, n)
	}
	if d := cmp.Diff([]int{2, 3, 5, 7, 8, 9}, got); d != "" {
		t.Error(d)
	}
	if r := j.record(); len(r.Live) != 7 || r.Next != 9 || r.Done.Count() != 3 {
		t.Errorf("recorded as %+v", r)
	}
}

// A gang starts whole: nothing waits while a member may be on a machine.
func TestGangWaitsWhole(t *testing.T) {
	j := newJob("req-1", &ledger.OpenJob{Job: wire.Job{ID: "req-1", Shape: wire.Gang, Tasks: 3}}, 1, time.Now())
	if j.waiting() != 3 {
		t.Errorf("%d wait", j.waiting())
	}
	j.live[j.take()] = &fleet.Placement{}
	if j.waiting() != 0 {
		t.Errorf("%d wait while one may run", j.waiting())
	}
}
