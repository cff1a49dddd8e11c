package server

import (
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/protocol"
)

var controllerNames = []string{"marble-0", "marble-1", "marble-2"}

var testMachineTypes = []protocol.MachineType{
	{Name: "small", Cores: 4, MemGB: 16, CacheGB: 40, FetchGBps: 1, Price: 0.2, SpotPrice: 0.06, BootS: 20, Zones: []string{"a", "b"}},
	{Name: "big", Cores: 16, MemGB: 64, CacheGB: 40, FetchGBps: 1, Price: 1, SpotPrice: 0.3, BootS: 25, Zones: []string{"a", "b"}},
	{Name: "card", Cores: 16, GPUs: 4, MemGB: 64, CacheGB: 40, FetchGBps: 1, Price: 9, SpotPrice: 3, BootS: 25, Zones: []string{"a", "b"}},
}

// testDeployment returns a deployment with three controllers, two zones and two teams. Fields
// whose names end in S are in seconds.
func testDeployment() config.Deployment {
	var d config.Deployment
	d.Count, d.Zones = 3, []string{"a", "b"}
	d.Teams = []config.Team{{Name: "red", GuaranteedCores: 16, CoresMax: 40, GuaranteedGPUs: 4, GPUsMax: 8}, {Name: "blue", GuaranteedCores: 16, CoresMax: 40}}
	d.Workers = config.Workers{ReportS: 2.5, LeaseS: 12, GangWaitS: 35, GangPeerS: 4, CancelS: 37}
	d.State = config.State{StateLimits: config.StateLimits{RPS: 250, WriteRPS: 50, ValueKB: 32, TxnOps: 20}}
	d.Cloud = config.Cloud{RPS: 4, ListLagS: 10}
	d.Limits = config.Limits{CPUShare: 1, MemoryMB: 1000, Sockets: 1000}
	return d
}

// testLease is the length of an agent's lease in testDeployment.
var testLease = time.Duration(testDeployment().Workers.LeaseS * float64(time.Second))

// largeArrayDeployment returns a deployment in which hundreds of tasks of a job run at
// once. Its settings announce smaller limits of the key-value store to the controllers. The
// store enforces the smaller limits only after a test has called Store.LowerLimits.
func largeArrayDeployment() config.Deployment {
	d := testDeployment()
	d.Teams[0].CoresMax = 400
	valueKB, txnOps, writeRPS := 2.0, 6, 30.0
	d.State.Next = config.NextLimits{ValueKB: &valueKB, TxnOps: &txnOps, WriteRPS: &writeRPS}
	return d
}

// productionSizeDeployment returns five controller names and a deployment in which hundreds
// of machines are provisioned. The key-value store's rates suffice for that many machines.
// The settings announce the same smaller limits as those of largeArrayDeployment.
func productionSizeDeployment() ([]string, config.Deployment) {
	d := largeArrayDeployment()
	d.Teams = []config.Team{{Name: "red", GuaranteedCores: 1000, CoresMax: 4000, GuaranteedGPUs: 4, GPUsMax: 16}, {Name: "blue", GuaranteedCores: 1000, CoresMax: 4000}}
	return []string{"marble-0", "marble-1", "marble-2", "marble-3", "marble-4"}, d
}

// fleetSize is the number of machines that the operators run.
const fleetSize = 4000

// fleetSizeDeployment returns a deployment in which fleetSize machines are provisioned.
// Agents send heartbeats every ten seconds, and the rates are those of a small key-value
// store.
func fleetSizeDeployment() config.Deployment {
	d := testDeployment()
	d.Teams = []config.Team{{Name: "red", GuaranteedCores: 20000, CoresMax: 100000}, {Name: "blue", GuaranteedCores: 20000, CoresMax: 100000}}
	d.Workers = config.Workers{ReportS: 10, LeaseS: 45, GangWaitS: 30, GangPeerS: 4, CancelS: 65}
	d.State = config.State{StateLimits: config.StateLimits{RPS: 70, WriteRPS: 25, ValueKB: 8, TxnOps: 12}}
	d.Cloud = config.Cloud{RPS: 4, ListLagS: 6}
	d.Limits = config.Limits{CPUShare: 0.24, MemoryMB: 451, Sockets: 5000}
	return d
}
