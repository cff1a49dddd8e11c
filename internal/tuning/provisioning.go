package tuning

import "time"

// Constants of the cloud and what is rented there.
const (
	// CloudTimeout ends a cloud call; usual answers take about 100 ms.
	CloudTimeout = 4 * time.Second

	// CloudBurst is how many seconds' worth of calls may be made at once; the
	// cloud allows two.
	CloudBurst = 1.5

	// ListInterval is the pause between cloud list calls, within the call budget.
	ListInterval = 3 * time.Second

	// ListLags times the lag of the cloud's list is how long after a machine was given
	// back a list may begin that still names it: usually twice the lag at most.
	ListLags = 6

	// ListShare is the part of the calls that may be made that goes into lists.
	ListShare = 0.25

	// CatalogInterval refreshes prices; they move slowly.
	CatalogInterval = 30 * time.Second

	// ProvisionMax and DeprovisionMax are the limits of PROTOCOL on one call.
	ProvisionMax   = 50
	DeprovisionMax = 100
	ListMax        = 500

	// PoolsInFlight is for how many offers the cloud is asked at once: about what
	// it answers in a second or two.
	PoolsInFlight = 6

	// NoCapacityBackoff and its maximum rest a type, zone and kind after a
	// refusal. Capacity comes back when others return machines.
	NoCapacityBackoff    = 5 * time.Second
	NoCapacityBackoffMax = 40 * time.Second

	// BootSlow is how many times bootS a machine's room counts as coming;
	// usual boots end at 1.5.
	BootSlow = 2.0

	// BootGiveUp is how many times bootS a machine may take before it is taken
	// for one that never comes up.
	BootGiveUp = 4.0
)
