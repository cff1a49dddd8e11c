// Package config reads and checks the settings of a controller: the platform's file
// (JSON) and the operators' file (TOML).
//
// The package defines the names of the settings' fields and the texts of the errors for
// invalid ones; operators and the deploy file depend on both. Settings are read once at the
// start. The package never changes them afterwards and does not depend on the components
// that use them.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
)

// Peer is another controller of the cluster.
type Peer struct {
	Node    string `json:"node"`
	Zone    string `json:"domain"`
	Address string `json:"address"`
}

// Team holds a team's guaranteed quota and quota limit of each resource. A limit of 0 means
// that the resource is not limited.
type Team struct {
	Name            string  `json:"name"`
	GuaranteedCores float64 `json:"cpus"`
	CoresMax        float64 `json:"cpus_max"`
	GuaranteedGPUs  float64 `json:"gpus"`
	GPUsMax         float64 `json:"gpus_max"`
}

// ObjectiveKind is the kind of a service-level objective. Unknown kinds are ignored.
type ObjectiveKind string

// The kinds of objectives that the leader takes into account when it schedules.
const (
	// ObjectiveDeadline asks that jobs are complete within a multiple of their deadline.
	ObjectiveDeadline ObjectiveKind = "deadline"
	// ObjectiveFinished asks that jobs are complete within some seconds.
	ObjectiveFinished ObjectiveKind = "finished"
	// ObjectiveWait asks that tasks start within some seconds.
	ObjectiveWait ObjectiveKind = "wait"
	// ObjectiveGuarantee asks that work within a team's guaranteed quota starts within
	// some seconds.
	ObjectiveGuarantee ObjectiveKind = "guarantee"
)

// Objective is a service-level objective (SLO) on starting or finishing the jobs of a
// class.
type Objective struct {
	Kind    ObjectiveKind `json:"kind"`
	Class   string        `json:"class"`
	WithinS float64       `json:"within_s"`
	// DeadlineMultiple is the multiple of a job's deadline within which the job should be
	// complete, for objectives of kind "deadline".
	DeadlineMultiple float64 `json:"times"`
	Share            float64 `json:"share"`
}

// Workers holds the timings of agents, in seconds. The type is named after its field in the
// settings.
type Workers struct {
	// ReportS is the interval between two heartbeats of an agent.
	ReportS float64 `json:"report_s"`
	// LeaseS is how long an agent's lease lasts after its last answered heartbeat.
	LeaseS float64 `json:"lease_s"`
	// GangWaitS is how long a task of a gang waits for the other tasks to start.
	GangWaitS float64 `json:"gang_wait_s"`
	// GangPeerS is the time within which the other tasks of a running gang detect that one
	// is lost.
	GangPeerS float64 `json:"gang_peer_s"`
	// CancelS is the time after an acknowledged cancellation within which no task of
	// the job may run any more.
	CancelS float64 `json:"cancel_s"`
}

// Cloud holds the limits of the cloud: calls per second, and by how many seconds its list of
// machines may lag behind the actual machines.
type Cloud struct {
	RPS      float64 `json:"rps"`
	ListLagS float64 `json:"list_lag_s"`
}

// Limits are the resources that this process may use.
type Limits struct {
	CPUShare float64 `json:"cpu_share"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Deployment describes the cluster and the services that it uses.
type Deployment struct {
	Count        int         `json:"count"`
	Zones        []string    `json:"zones"`
	Teams        []Team      `json:"teams"`
	Objectives   []Objective `json:"objectives"`
	Workers      Workers     `json:"workers"`
	State        State       `json:"state"`
	Cloud        Cloud       `json:"cloud"`
	Limits       Limits      `json:"limits"`
	ClockErrorMS float64     `json:"clock_error_ms"`
}

// Config holds all settings of a controller.
type Config struct {
	Node     string `json:"node"`
	Zone     string `json:"domain"`
	APIAddr  string `json:"api_addr"`
	PeerBind string `json:"peer_bind"`
	Peers    []Peer `json:"peers"`
	Services struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"services"`
	Deployment Deployment `json:"deployment"`
	Operator   Operator   `json:"-"`
}

// Load reads the platform's file and, unless its path is empty, the operators' file.
// An error names the file and, where there is one, the field.
func Load(path, operatorPath string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err // the error already names the file
	}
	c := &Config{Operator: DefaultOperator()}
	if err := c.decode(raw); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if operatorPath == "" {
		return c, nil
	}
	if err := c.Operator.load(operatorPath); err != nil {
		return nil, fmt.Errorf("%s: %w", operatorPath, err)
	}
	return c, nil
}

// decode parses the platform's settings. Unknown fields are ignored.
func (c *Config) decode(raw []byte) error {
	err := json.Unmarshal(raw, c)
	if err == nil {
		return nil
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return fmt.Errorf("field %s: wrong type, JSON %s", wrongType.Field, wrongType.Value)
	}
	return fmt.Errorf("not valid JSON: %w", err)
}

// Team returns the team with the name, or nil if there is none.
func (c *Config) Team(name string) *Team {
	for i := range c.Deployment.Teams {
		if c.Deployment.Teams[i].Name == name {
			return &c.Deployment.Teams[i]
		}
	}
	return nil
}
