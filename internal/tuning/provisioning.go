package tuning

import "time"

// Constants of the cloud and of the machines that are provisioned there.
const (
	// CloudTimeout ends a call to the cloud. Answers usually take about 100 ms.
	CloudTimeout = 4 * time.Second

	// CloudBurst is how many seconds' worth of the call budget may be spent at once. The
	// cloud allows two.
	CloudBurst = 1.5

	// ListInterval is the least pause between two reads of the list of machines, so that
	// most of the call budget is left for provisioning.
	ListInterval = 3 * time.Second

	// ListLagFactor times list_lag_s is how long after a machine was deprovisioned a read of the
	// list may begin that still names it. The list usually lags by twice list_lag_s at most.
	ListLagFactor = 6

	// ListShare is the share of the call budget that reads of the list may take.
	ListShare = 0.25

	// CatalogInterval is the pause between reads of the machine types and their prices,
	// which change slowly.
	CatalogInterval = 30 * time.Second

	// ProvisionMax is the largest number of machines in a provisioning request, as the
	// cloud says.
	ProvisionMax = 50
	// DeprovisionMax is the largest number of machines in a call that deprovisions them, as
	// the cloud says.
	DeprovisionMax = 100
	// ListMax is the largest number of machines in a page of the list, as the cloud says.
	ListMax = 500

	// PoolsInFlight is for how many capacity pools requests may be in flight at once: about
	// as many as the cloud answers in a second or two.
	PoolsInFlight = 6

	// NoCapacityBackoff is how long a capacity pool is left alone after its first refusal.
	NoCapacityBackoff = 5 * time.Second
	// NoCapacityBackoffMax is the longest such pause; it doubles with each refusal.
	// Capacity comes back when others give machines back.
	NoCapacityBackoffMax = 40 * time.Second

	// BootExpectedFactor times bootS is how long a machine that boots counts as capacity to come.
	// Usual boots end at 1.5 times bootS.
	BootExpectedFactor = 2.0

	// BootTimeoutFactor times bootS is how long a machine may boot before it is taken for one that
	// never comes up. Some boots take several times bootS.
	BootTimeoutFactor = 4.0
)
