package protocol

// MachineType is an entry of the cloud's catalog.
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

// ProvisionRequest asks the cloud for machines.
type ProvisionRequest struct {
	RequestID string `msgpack:"claim"`
	Type      string `msgpack:"flavor"`
	Zone      string `msgpack:"quarry"`
	Spot      bool   `msgpack:"loaners"`
	Count     int    `msgpack:"howMany"`
}

// MachineIDs lists machine names.
type MachineIDs struct {
	IDs []string `msgpack:"hosts"`
}

// MachineState is the state of a machine in the cloud's list.
type MachineState string

// The states of a machine that are told apart.
const (
	MachineStarting MachineState = "starting"
	MachineFailed   MachineState = "failed"
)

// ListedMachine is an entry of the cloud's machine list.
type ListedMachine struct {
	ID    string       `msgpack:"ref"`
	Addr  string       `msgpack:"endpoint"`
	Type  string       `msgpack:"flavor"`
	Zone  string       `msgpack:"quarry"`
	Spot  bool         `msgpack:"loaners"`
	State MachineState `msgpack:"phase"`
	AgeS  float64      `msgpack:"heldS"`
}

// MachineList is a page of the cloud's machine list.
type MachineList struct {
	Machines []ListedMachine `msgpack:"hosts"`
	More     bool            `msgpack:"truncated"`
}
