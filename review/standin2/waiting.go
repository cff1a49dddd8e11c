//go:build review2

package main

import (
	"fmt"
	"time"

	"marblehaven/internal/protocol"
)

// longestWait is how long no job may be left waiting while a machine that fits has room and its
// team is under its limit.
const longestWait = 90 * time.Second

// pairing is a job that waits and a machine that fits it and has room.
type pairing struct{ job, machine string }

// waitingWatch follows since when each pairing has held without a break.
type waitingWatch struct{ since map[pairing]time.Time }

func newWaitingWatch() *waitingWatch { return &waitingWatch{since: map[pairing]time.Time{}} }

// look compares all waiting jobs with all machines, and describes a pairing that has held for
// longestWait, if there is one.
func (v *waitingWatch) look(w *world) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	held := map[pairing]bool{}
	for id, j := range w.jobs {
		if !w.waits(j) || !w.underLimit(j) {
			continue
		}
		for _, m := range w.machines {
			if !m.fits(j) {
				continue
			}
			pair := pairing{id, m.id}
			held[pair] = true
			if v.since[pair].IsZero() {
				v.since[pair] = now
				w.record.add("%s waits, and %s %s has room for it: %.0f cores, %.0f GB", id, m.typeName, m.id, m.free.cores, m.free.memGB)
			}
			if now.Sub(v.since[pair]) >= longestWait {
				return fmt.Sprintf("%s has waited for %.0f s while %s %s had room: %.0f cores, %.0f GB", id, longestWait.Seconds(), m.typeName, m.id, m.free.cores, m.free.memGB)
			}
		}
	}
	for pair := range v.since {
		if !held[pair] {
			delete(v.since, pair)
			w.record.add("%s no longer waits beside %s", pair.job, pair.machine)
		}
	}
	return ""
}

// waits reports whether none of a job's tasks is on a machine or fetches its image, and work is
// left.
func (w *world) waits(j *job) bool {
	for _, m := range w.machines {
		for _, t := range m.tasks {
			if t.job == j && t.state != protocol.TaskExited {
				return false
			}
		}
	}
	return len(j.done) < j.spec.Tasks
}

// underLimit reports whether a further task of the job keeps its team within its limit.
func (w *world) underLimit(j *job) bool {
	var used resources
	for _, m := range w.machines {
		for _, t := range m.tasks {
			if t.job.spec.Team == j.spec.Team && t.state != protocol.TaskExited {
				used.cores += t.job.spec.Cores
				used.cards += t.job.spec.GPUs
			}
		}
	}
	for _, team := range w.site.teams {
		if team["name"] == j.spec.Team {
			return used.cores+j.spec.Cores <= team["cpus_max"].(float64) && used.cards+j.spec.GPUs <= team["gpus_max"].(float64)
		}
	}
	return false
}

// fits reports whether a machine is up and its worker served, and has room for a task of a job
// that allows any type, zone and ordinary machine.
func (m *machine) fits(j *job) bool {
	served := time.Since(m.leaseFrom).Seconds() < 2*m.world.site.reportS
	return m.isUp && !m.gone && served && m.free.cores >= j.spec.Cores && m.free.cards >= j.spec.GPUs && m.free.memGB >= j.spec.MemGB
}
