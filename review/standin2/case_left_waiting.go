//go:build review2

package main

import (
	"errors"
	"fmt"
	"time"

	"marblehaven/internal/protocol"
)

// tightSavekeep returns the Savekeep deployment while the cloud has few machines left: one
// without cards and one with.
func tightSavekeep() site {
	s := savekeep()
	s.types = append(s.types, protocol.MachineType{Name: "lantern", Cores: 48, GPUs: 8, MemGB: 384, CacheGB: 90, FetchGBps: 1,
		Price: 25.53, SpotPrice: 5.72, BootS: 35, Zones: s.zones})
	s.capacity = map[string]int{"bantam/hsinchu": 1, "lantern/banqiao": 1}
	return s
}

// A burst is three times as many services as usual.
const (
	usualServices = 2
	burstServices = 6
)

// leftWaiting submits a scan that takes most of a machine with cards, and then services that
// together need more than the only other machine has, and looks whether one is left waiting
// beside a machine with room.
func leftWaiting(w *world, trouble bool) (bool, error) {
	scan := protocol.Job{ID: "req-000398", Class: "cheatscan", Team: "vaultkeepers-00", Kind: protocol.KindGang, Priority: protocol.PriorityStandard,
		Tasks: 1, Cores: 43, GPUs: 8, MemGB: 310, Image: "img-01", ImageGB: 1, OneZone: true, EstimateS: 150}
	if !w.submit(scan, 300) {
		return false, errors.New("the scan was not accepted")
	}
	if !w.await(15*time.Second, func() bool { return w.running(scan.ID) == 1 }) {
		return false, errors.New("the scan does not run")
	}
	services := usualServices
	if trouble {
		services = burstServices
	}
	for number := range services {
		service := protocol.Job{ID: protocol.JobID(fmt.Sprintf("req-%06d", 412+number)), Class: "savesync", Team: "vaultkeepers-00",
			Kind: protocol.KindService, Priority: protocol.PriorityProduction, Tasks: 1, Cores: 1, MemGB: 2, Image: "img-02", ImageGB: 1, Spread: true}
		if !w.submit(service, 0) {
			return false, fmt.Errorf("service %s was not accepted", service.ID)
		}
	}
	watch := newWaitingWatch()
	for start := time.Now(); time.Since(start) < longestWait+4*time.Second; time.Sleep(100 * time.Millisecond) {
		if broken := watch.look(w); broken != "" {
			w.record.add("BROKEN: %s", broken)
			return true, nil
		}
	}
	return false, nil
}
