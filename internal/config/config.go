// Package config reads and checks the platform's settings (JSON) and the
// operators' own (TOML).
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"

	"github.com/BurntSushi/toml"

	"marblehaven/internal/tuning"
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

// StateLimits holds limits of the state service.
type StateLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// NextLimits holds the limits that the state service will have; a field left out
// stays as it is.
type NextLimits struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// State holds the present limits of the state service and those announced for
// some moment after an upgrade.
type State struct {
	StateLimits
	Next NextLimits `json:"next"`
}

// Smaller returns for each limit the smaller of the present and the announced
// one: what respects it is accepted before and after the change.
func (s State) Smaller() StateLimits {
	return StateLimits{
		RPS:      smaller(s.RPS, s.Next.RPS),
		WriteRPS: smaller(s.WriteRPS, s.Next.WriteRPS),
		ValueKB:  smaller(s.ValueKB, s.Next.ValueKB),
		TxnOps:   smaller(s.TxnOps, s.Next.TxnOps),
	}
}

func smaller[T int | float64](present T, next *T) T {
	if next == nil {
		return present
	}
	return min(present, *next)
}

// ValueBytes is the largest value in bytes as JSON.
func (l StateLimits) ValueBytes() int { return int(l.ValueKB * 1024) }

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

// Sockets is how a process divides the sockets that it may have, so that no use
// starves another.
type Sockets struct {
	// Users is for users' calls being worked on, each of which may take one to
	// the state service.
	Users int
	// Incoming is for connections made by users, workers and health checks.
	Incoming int
	// Commands is for direct commands to workers.
	Commands int
}

// Sockets divides the limit; what a process needs for itself comes off first.
func (d *Deployment) Sockets(peers int) Sockets {
	users := min(tuning.MaxInflight, d.Limits.Sockets/tuning.SocketsUsers)
	left := d.Limits.Sockets - tuning.SocketsOwn - 2*peers - users
	commands := min(tuning.SocketsCommandsMax, int(float64(left)*tuning.SocketsCommands))
	return Sockets{Users: users, Incoming: left - commands, Commands: commands}
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

// Operator holds what DESIGN leaves open to the operators.
type Operator struct {
	// Rho is the modifying factor of the run-time estimate in eq. 28.
	Rho float64 `toml:"rho"`
	// DeadlineFactor times the estimate is the deadline of a job without one.
	DeadlineFactor float64 `toml:"default_deadline_factor"`
	// GiveBackFactor times its type's boot time is how long an idle machine is
	// kept at the type's lowest price, and the shorter the dearer it is.
	GiveBackFactor float64 `toml:"give_back_boot_factor"`
	// CallBudget is the share of the cloud's calls a second that is used.
	CallBudget float64 `toml:"cloud_call_share"`
	// Estimator is "recent" (PAPER's recent average, corrected per class) or
	// "user" (the owner's estimate as it is).
	Estimator string `toml:"estimator"`
}

// DefaultOperator returns the values used without an operators' file.
func DefaultOperator() Operator {
	return Operator{Rho: 1, DeadlineFactor: 3, GiveBackFactor: 4, CallBudget: 0.8, Estimator: "recent"}
}

// Load reads the platform's file and, unless its path is empty, the operators'.
func Load(path, operatorPath string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := &Config{Operator: DefaultOperator()}
	if err := json.Unmarshal(raw, c); err != nil {
		var typ *json.UnmarshalTypeError
		if errors.As(err, &typ) {
			return nil, fmt.Errorf("%s: field %s: cannot be %s", path, typ.Field, typ.Value)
		}
		return nil, fmt.Errorf("%s: not valid JSON: %w", path, err)
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if operatorPath != "" {
		md, err := toml.DecodeFile(operatorPath, &c.Operator)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", operatorPath, err)
		}
		if un := md.Undecoded(); len(un) > 0 {
			return nil, fmt.Errorf("%s: field %s: unknown", operatorPath, un[0])
		}
		if err := c.Operator.check(); err != nil {
			return nil, fmt.Errorf("%s: %w", operatorPath, err)
		}
	}
	return c, nil
}

func (c *Config) check() error {
	d := &c.Deployment
	for _, f := range []struct{ name, value string }{
		{"api_addr", c.APIAddr}, {"peer_bind", c.PeerBind},
		{"services.cloud", c.Services.Cloud}, {"services.state", c.Services.State},
	} {
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			return fmt.Errorf("field %s: not an address with port: %q", f.name, f.value)
		}
	}
	if c.Node == "" {
		return errors.New("field node: missing")
	}
	for i, p := range c.Peers {
		if p.Node == "" || p.Node == c.Node {
			return fmt.Errorf("field peers[%d].node: missing or this node itself", i)
		}
		if _, _, err := net.SplitHostPort(p.Address); err != nil {
			return fmt.Errorf("field peers[%d].address: not an address with port: %q", i, p.Address)
		}
	}
	seen := map[string]bool{}
	for i, t := range d.Teams {
		if t.Name == "" || seen[t.Name] {
			return fmt.Errorf("field deployment.teams[%d].name: missing or repeated", i)
		}
		seen[t.Name] = true
		if t.Cores < 0 || t.CoresMax < 0 || t.GPUs < 0 || t.GPUsMax < 0 {
			return fmt.Errorf("field deployment.teams[%d]: negative amount", i)
		}
	}
	w := d.Workers
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"deployment.workers.report_s", w.ReportS}, {"deployment.workers.lease_s", w.LeaseS},
		{"deployment.workers.gang_wait_s", w.GangWaitS}, {"deployment.workers.gang_peer_s", w.GangPeerS},
		{"deployment.workers.cancel_s", w.CancelS}, {"deployment.state.rps", d.State.RPS},
		{"deployment.state.write_rps", d.State.WriteRPS}, {"deployment.state.value_kb", d.State.ValueKB},
		{"deployment.state.txn_ops", float64(d.State.TxnOps)}, {"deployment.cloud.rps", d.Cloud.RPS},
		{"deployment.limits.memory_mb", d.Limits.MemoryMB}, {"deployment.limits.sockets", float64(d.Limits.Sockets)},
	} {
		if !(f.value > 0) || math.IsInf(f.value, 0) {
			return fmt.Errorf("field %s: missing or not above 0", f.name)
		}
	}
	if err := w.check(); err != nil {
		return err
	}
	// What cannot be served with is said at once; whatever can, starts.
	if s := d.Sockets(len(c.Peers)); s.Incoming < tuning.SocketsMin || s.Commands < 1 || s.Users < 1 {
		return fmt.Errorf("field deployment.limits.sockets: %d is too few to serve with", d.Limits.Sockets)
	}
	if d.Limits.MemoryMB < tuning.MemoryMinMB {
		return fmt.Errorf("field deployment.limits.memory_mb: %v is too little to serve with, below %d", d.Limits.MemoryMB, tuning.MemoryMinMB)
	}
	if err := d.State.check("deployment.state"); err != nil {
		return err
	}
	return d.State.Smaller().check("deployment.state.next")
}

// check refuses times with which machines would lose their leases without any failure.
func (w Workers) check() error {
	least := w.LeaseS + (tuning.LeaderLeaseMargin + tuning.LeaderLeaseMin).Seconds()
	if w.CancelS < least {
		return fmt.Errorf("field deployment.workers.cancel_s: %v is below %v, lease_s and what a leader needs to answer reports", w.CancelS, least)
	}
	if w.LeaseS <= tuning.HeartbeatJitter*w.ReportS {
		return fmt.Errorf("field deployment.workers.lease_s: %v is not above %v, the longest pause between two reports", w.LeaseS, tuning.HeartbeatJitter*w.ReportS)
	}
	return nil
}

// check refuses limits within which the service could not keep its records.
func (l StateLimits) check(field string) error {
	switch {
	case !(l.RPS > 0):
		return fmt.Errorf("field %s.rps: not above 0", field)
	case !(l.WriteRPS > 0):
		return fmt.Errorf("field %s.write_rps: not above 0", field)
	case l.TxnOps < tuning.TransactionMutationsMin:
		return fmt.Errorf("field %s.txn_ops: below %d, the changes that end a job", field, tuning.TransactionMutationsMin)
	case l.ValueKB < tuning.ValueMinKB:
		return fmt.Errorf("field %s.value_kb: below %v, what a record takes", field, tuning.ValueMinKB)
	}
	return nil
}

func (o Operator) check() error {
	in := func(name string, v, low, high float64) error {
		if !(v >= low && v <= high) {
			return fmt.Errorf("field %s: %v is not within %v to %v", name, v, low, high)
		}
		return nil
	}
	if o.Estimator != "recent" && o.Estimator != "user" {
		return fmt.Errorf("field estimator: %q is neither \"recent\" nor \"user\"", o.Estimator)
	}
	return errors.Join(
		in("rho", o.Rho, 0, 10),
		in("default_deadline_factor", o.DeadlineFactor, 1, 100),
		in("give_back_boot_factor", o.GiveBackFactor, 0, 100),
		in("cloud_call_share", o.CallBudget, 0.05, 1),
	)
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
