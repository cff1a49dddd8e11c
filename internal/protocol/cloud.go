package protocol

// MachineType is a machine type in the cloud's catalog. Prices are per hour.
type MachineType struct {
	Name      string   `msgpack:"label"`
	Cores     float64  `msgpack:"cores"`
	GPUs      float64  `msgpack:"cards"`
	MemGB     float64  `msgpack:"memGb"`
	CacheGB   float64  `msgpack:"cacheGb"`
	FetchGBps float64  `msgpack:"fetchGbPerS"`
	Price     float64  `msgpack:"price"`
	SpotPrice float64  `msgpack:"lowPrice"`
	BootS     float64  `msgpack:"bootS"`
	Zones     []string `msgpack:"quarries"`
}

// Catalog is the cloud's list of machine types.
type Catalog struct {
	Types []MachineType `msgpack:"flavors"`
}

// ProvisionRequest asks the cloud for machines. A repeated RequestID gets the same answer
// as the first time, and no further machines are provisioned.
type ProvisionRequest struct {
	RequestID string `msgpack:"claim"`
	Type      string `msgpack:"flavor"`
	Zone      string `msgpack:"quarry"`
	Spot      bool   `msgpack:"loaners"`
	Count     int    `msgpack:"howMany"`
}

// MachineIDs lists the IDs of machines, in the answer to a ProvisionRequest and in the request
// to deprovision machines.
type MachineIDs struct {
	IDs []string `msgpack:"hosts"`
}

// MachineState is the state of a machine in the cloud's list of machines.
type MachineState string

// The states of a machine that the leader distinguishes.
const (
	MachineStarting MachineState = "starting"
	MachineFailed   MachineState = "failed"
)

// ListedMachine is a machine in the cloud's list. AgeS is the time in seconds since the
// machine was requested.
type ListedMachine struct {
	ID    string       `msgpack:"ref"`
	Addr  string       `msgpack:"endpoint"`
	Type  string       `msgpack:"flavor"`
	Zone  string       `msgpack:"quarry"`
	Spot  bool         `msgpack:"loaners"`
	State MachineState `msgpack:"phase"`
	AgeS  float64      `msgpack:"heldS"`
}

// MachineList is a page of the cloud's list of machines; More says that another page follows.
type MachineList struct {
	Machines []ListedMachine `msgpack:"hosts"`
	More     bool            `msgpack:"truncated"`
}
