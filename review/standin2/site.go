//go:build review2

package main

import "marblehaven/internal/protocol"

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
