package tuning

import "time"

// Constants of the cloud and of the machines that are provisioned there.
const (
	// CloudTimeout ends a call to the cloud. Answers usually take about 100 ms.
	CloudTimeout = 4 * time.Second

	// CloudBurst is how many seconds' worth of the call budget may be spent at once. The
	// cloud allows two seconds' worth.
	CloudBurst = 1.5

	// ListInterval is the least pause between two reads of the list of machines, so that
	// most of the call budget is left for provisioning.
	ListInterval = 3 * time.Second

	// ListLagFactor times list_lag_s is how long after the deprovisioning of a machine a read
	// of the list may begin and still name the machine. The list usually lags by at most
	// twice list_lag_s.
	ListLagFactor = 6

	// ListShare is the share of the call budget that reads of the list may take.
	ListShare = 0.25

	// CatalogInterval is the pause between reads of the machine types and their prices,
	// which change slowly.
	CatalogInterval = 30 * time.Second

	// ProvisionMax is the largest number of machines in a provisioning request, as the cloud
	// specifies.
	ProvisionMax = 50
	// DeprovisionMax is the largest number of machines in a call that deprovisions them, as
	// the cloud specifies.
	DeprovisionMax = 100
	// MachineListPageSize is the largest number of machines in a page of the machine list, as
	// the cloud specifies.
	MachineListPageSize = 500

	// PoolsInFlight is the largest number of capacity pools with a request in flight: about
	// as many requests as the cloud answers in a second or two.
	PoolsInFlight = 6

	// NoCapacityBackoff is how long no machines are requested from a capacity pool after its
	// first refusal.
	NoCapacityBackoff = 5 * time.Second
	// NoCapacityBackoffMax is the longest such pause; it doubles with each refusal. Capacity
	// becomes available when other customers of the cloud return machines.
	NoCapacityBackoffMax = 40 * time.Second

	// BootExpectedFactor times bootS is how long a booting machine counts as expected
	// capacity. Usual boots end within 1.5 times bootS.
	BootExpectedFactor = 2.0

	// BootTimeoutFactor times bootS is how long a machine may boot before it is assumed that
	// it never comes up. Some boots take several times bootS.
	BootTimeoutFactor = 4.0
)
