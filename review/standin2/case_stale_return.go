package main

import (
	"errors"
	"fmt"
	"time"

	"marblehaven/internal/protocol"
)

// savekeep returns a small deployment with the times, limits and machine types of the Savekeep
// site.
func savekeep() site {
	zones := []string{"hsinchu", "banqiao"}
	return site{
		controllers: 3,
		zones:       zones,
		teams:       []map[string]any{{"name": "vaultkeepers-00", "cpus": 43.0, "cpus_max": 160.0, "gpus": 8.0, "gpus_max": 24.0}},
		types: []protocol.MachineType{
			{Name: "bantam", Cores: 4, MemGB: 16, CacheGB: 70, FetchGBps: 0.5, Price: 0.23, SpotPrice: 0.06, BootS: 30, Zones: zones},
			{Name: "teapot", Cores: 16, MemGB: 128, CacheGB: 50, FetchGBps: 0.6, Price: 1.29, SpotPrice: 0.29, BootS: 40, Zones: zones},
		},
		capacity: map[string]int{"bantam/hsinchu": 6, "teapot/hsinchu": 1, "teapot/banqiao": 2},
		reportS:  2.5, leaseS: 12, cancelS: 37, bootS: 1.5,
	}
}

// The cut lasts between these times: longer than lease_s and the time after which a silent
// machine is given up, and shorter than the longest cut of a controller in the pages' days, 51 s.
const (
	cutAtLeast = 35 * time.Second
	cutMore    = 14 * time.Second
)

// staleReturn cuts the leader off from everything while another controller takes over, and looks
// whether the former leader, once the cut ends, returns machines that run tasks under the new
// leader.
func staleReturn(w *world, trouble bool) (bool, error) {
	job := protocol.Job{ID: "req-000412", Class: "invaudit", Team: "vaultkeepers-00", Kind: protocol.KindArray, Priority: protocol.PriorityStandard,
		Tasks: 8, Cores: 4, MemGB: 12, Image: "img-07", ImageGB: 0.5, EstimateS: 40}
	if !w.submit(job, 200) {
		return false, errors.New("the job was not accepted")
	}
	if !w.await(25*time.Second, func() bool { return w.running(job.ID) >= 8 }) {
		return false, fmt.Errorf("%d of 8 tasks run", w.running(job.ID))
	}
	former := w.leader()
	time.Sleep(2 * time.Second)
	if trouble {
		w.record.add("cut of %s begins", former.name)
		former.cut.begin()
	}
	time.Sleep(cutAtLeast)
	if trouble {
		if !former.cut.awaitAttempt("/rentals/return", cutMore) {
			w.record.add("%s does not try to return machines", former.name)
		}
		w.record.add("%d tasks on machines", w.running(job.ID))
		w.record.add("cut of %s ends", former.name)
		former.cut.end()
	}
	time.Sleep(5 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	if trouble && w.holder() == former.name {
		return false, errors.New("no other controller took over")
	}
	for _, returned := range w.returns {
		if len(returned.lost) > 0 && returned.holder != "" && returned.holder != returned.from {
			w.record.add("BROKEN: %s returned machines with %d running tasks, %s leads", returned.from, len(returned.lost), returned.holder)
			return true, nil
		}
	}
	return false, nil
}
