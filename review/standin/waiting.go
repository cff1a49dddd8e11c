//go:build review

package main

import (
	"fmt"
	"time"

	"marblehaven/internal/protocol"
)

// waitLimit is how long a job may be left waiting while a machine that fits has room, once
// the troubles are over.
const waitLimit = 90 * time.Second

// waitWatch checks the rule that no job is left waiting for 90 s beside room. A job counts
// as left waiting only while none of its tasks is on any machine.
type waitWatch struct {
	w     *world
	since map[*job]time.Time
}

func newWaitWatch(w *world) *waitWatch { return &waitWatch{w: w, since: map[*job]time.Time{}} }

// check looks at all jobs once. It returns how many jobs wait beside room, and the violation
// if one of them has waited for too long.
func (v *waitWatch) check() (waiting int, violation string) {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	now := time.Now()
	for _, j := range v.w.jobs {
		machine := v.roomFor(j)
		if machine == "" {
			delete(v.since, j)
			continue
		}
		waiting++
		if v.since[j].IsZero() {
			v.since[j] = now
		}
		if waited := now.Sub(v.since[j]); waited > waitLimit {
			violation = fmt.Sprintf("%s has waited for %.0f s although %s fits and has room", j.spec.ID, waited.Seconds(), machine)
		}
	}
	return waiting, violation
}

// roomFor returns a machine that fits and has room for a job of which no task is on a
// machine, or "" if there is none or the job doesn't wait.
func (v *waitWatch) roomFor(j *job) string {
	if !j.accepted || !j.cancelled.IsZero() || len(j.done) >= j.spec.Tasks || v.teamUses(j) > 0 {
		return ""
	}
	for _, k := range v.w.workers {
		for _, t := range k.tasks {
			if t.job == j && t.phase != protocol.TaskExited {
				return ""
			}
		}
	}
	for name, k := range v.w.workers {
		if k.allows(&j.spec) && k.hasRoom(&j.spec) {
			return name
		}
	}
	return ""
}

// teamUses returns by how much one more task would exceed the limit of the job's team, or 0.
func (v *waitWatch) teamUses(j *job) float64 {
	cores, gpus := j.spec.Cores, j.spec.GPUs
	for _, k := range v.w.workers {
		for _, t := range k.tasks {
			if t.phase != protocol.TaskExited && t.job.spec.Team == j.spec.Team {
				cores += t.job.spec.Cores
				gpus += t.job.spec.GPUs
			}
		}
	}
	for _, team := range v.w.set.teams {
		if team.Name != j.spec.Team {
			continue
		}
		if team.CoresMax > 0 && cores > team.CoresMax {
			return cores - team.CoresMax
		}
		if team.GPUsMax > 0 && gpus > team.GPUsMax {
			return gpus - team.GPUsMax
		}
	}
	return 0
}
