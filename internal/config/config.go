// Package config reads and checks the platform's settings (JSON) and the
// operators' own (TOML).
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
)

// Peer is another controller.
type Peer struct {
	Node    string `json:"node"`
	Zone    string `json:"domain"`
	Address string `json:"address"`
}

// Team has a guarantee and a limit. A limit of 0 is none declared.
type Team struct {
	Name     string  `json:"name"`
	Cores    float64 `json:"cpus"`
	CoresMax float64 `json:"cpus_max"`
	GPUs     float64 `json:"gpus"`
	GPUsMax  float64 `json:"gpus_max"`
}

// Objective is an aim on starting or finishing the jobs of a class.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	// Times is the multiple of its deadline by which a job should be complete, for
	// aims of kind "deadline".
	Times float64 `json:"times"`
	Share float64 `json:"share"`
}

// Workers says how workers behave, in seconds.
type Workers struct {
	ReportS   float64 `json:"report_s"`
	LeaseS    float64 `json:"lease_s"`
	GangWaitS float64 `json:"gang_wait_s"`
	GangPeerS float64 `json:"gang_peer_s"`
	CancelS   float64 `json:"cancel_s"`
}

// Cloud holds the limits of the cloud.
type Cloud struct {
	RPS      float64 `json:"rps"`
	ListLagS float64 `json:"list_lag_s"`
}

// Limits are the means of this process.
type Limits struct {
	CPUShare float64 `json:"cpu_share"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Deployment describes the site.
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

// Config is everything a controller is told.
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
		return nil, err // names the file already
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

// decode reads the platform's settings. Fields that are not known are ignored.
func (c *Config) decode(raw []byte) error {
	err := json.Unmarshal(raw, c)
	if err == nil {
		return nil
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return fmt.Errorf("field %s: cannot be %s", wrongType.Field, wrongType.Value)
	}
	return fmt.Errorf("not valid JSON: %w", err)
}

// Team finds a team by name.
func (c *Config) Team(name string) *Team {
	for i := range c.Deployment.Teams {
		if c.Deployment.Teams[i].Name == name {
			return &c.Deployment.Teams[i]
		}
	}
	return nil
}
