package config

import (
	"errors"
	"fmt"
	"math"
	"net"

	"marblehaven/internal/tuning"
)

// check returns an error for the first setting with which the service cannot work. A
// controller refuses to start with such settings and starts with all others.
func (c *Config) check() error {
	deployment := &c.Deployment
	checks := []func() error{
		c.checkAddresses,
		c.checkNode,
		c.checkPeers,
		deployment.checkTeams,
		deployment.checkPositive,
		deployment.Workers.checkTimings,
		c.checkSockets,
		deployment.Limits.checkMemory,
		c.checkStateLimits,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) checkAddresses() error {
	for _, address := range []struct{ field, value string }{
		{"api_addr", c.APIAddr},
		{"peer_bind", c.PeerBind},
		{"services.cloud", c.Services.Cloud},
		{"services.state", c.Services.State},
	} {
		if err := checkAddress(address.field, address.value); err != nil {
			return err
		}
	}
	return nil
}

func checkAddress(field, value string) error {
	if _, _, err := net.SplitHostPort(value); err != nil {
		return fmt.Errorf("field %s: not an address with port: %q", field, value)
	}
	return nil
}

func (c *Config) checkNode() error {
	if c.Node == "" {
		return errors.New("field node: missing")
	}
	return nil
}

func (c *Config) checkPeers() error {
	for i, peer := range c.Peers {
		if peer.Node == "" || peer.Node == c.Node {
			return fmt.Errorf("field peers[%d].node: missing or this node itself", i)
		}
		if err := checkAddress(fmt.Sprintf("peers[%d].address", i), peer.Address); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) checkTeams() error {
	seen := map[string]bool{}
	for i, team := range d.Teams {
		if team.Name == "" || seen[team.Name] {
			return fmt.Errorf("field deployment.teams[%d].name: missing or repeated", i)
		}
		seen[team.Name] = true
		if team.GuaranteedCores < 0 || team.CoresMax < 0 || team.GuaranteedGPUs < 0 || team.GPUsMax < 0 {
			return fmt.Errorf("field deployment.teams[%d]: negative quota or quota limit", i)
		}
	}
	return nil
}

// checkPositive checks the numbers that only have a meaning above 0.
func (d *Deployment) checkPositive() error {
	for _, number := range []struct {
		field string
		value float64
	}{
		{"deployment.workers.report_s", d.Workers.ReportS},
		{"deployment.workers.lease_s", d.Workers.LeaseS},
		{"deployment.workers.gang_wait_s", d.Workers.GangWaitS},
		{"deployment.workers.gang_peer_s", d.Workers.GangPeerS},
		{"deployment.workers.cancel_s", d.Workers.CancelS},
		{"deployment.state.rps", d.State.RPS},
		{"deployment.state.write_rps", d.State.WriteRPS},
		{"deployment.state.value_kb", d.State.ValueKB},
		{"deployment.state.txn_ops", float64(d.State.TxnOps)},
		{"deployment.cloud.rps", d.Cloud.RPS},
		{"deployment.limits.memory_mb", d.Limits.MemoryMB},
		{"deployment.limits.sockets", float64(d.Limits.Sockets)},
	} {
		// The condition is negated so that it also refuses NaN.
		if !(number.value > 0) || math.IsInf(number.value, 0) {
			return fmt.Errorf("field %s: missing or not above 0", number.field)
		}
	}
	return nil
}

// checkTimings refuses timings with which agents' leases would expire without any failure.
func (w Workers) checkTimings() error {
	minCancelS := w.LeaseS + (tuning.LeaderLeaseMargin + tuning.LeaderLeaseMin).Seconds()
	if w.CancelS < minCancelS {
		return fmt.Errorf("field deployment.workers.cancel_s: %v is below %v, the sum of lease_s, the shortest leader lease and its margin", w.CancelS, minCancelS)
	}
	maxHeartbeatPauseS := tuning.HeartbeatJitter * w.ReportS
	if w.LeaseS <= maxHeartbeatPauseS {
		return fmt.Errorf("field deployment.workers.lease_s: %v is not above %v, the longest pause between two heartbeats of an agent", w.LeaseS, maxHeartbeatPauseS)
	}
	return nil
}

// checkSockets refuses a limit that leaves fewer than tuning.SocketsMin sockets for incoming
// connections, or none for commands or for users' calls.
func (c *Config) checkSockets() error {
	sockets := c.Deployment.Sockets(len(c.Peers))
	if sockets.Incoming < tuning.SocketsMin || sockets.Commands < 1 || sockets.Users < 1 {
		return fmt.Errorf("field deployment.limits.sockets: %d is too few for incoming connections, commands to agents and users' calls", c.Deployment.Limits.Sockets)
	}
	return nil
}

func (l Limits) checkMemory() error {
	if l.MemoryMB < tuning.MemoryMinMB {
		return fmt.Errorf("field deployment.limits.memory_mb: %v is below %d, the least with which the service runs", l.MemoryMB, tuning.MemoryMinMB)
	}
	return nil
}

// checkStateLimits checks the present limits of the key-value store and those that hold
// after the announced change.
func (c *Config) checkStateLimits() error {
	state := c.Deployment.State
	if err := state.check("deployment.state"); err != nil {
		return err
	}
	return state.StricterLimits().check("deployment.state.next")
}

// check refuses limits with which the service cannot write its records.
func (l StateLimits) check(field string) error {
	switch {
	case !(l.RPS > 0):
		return fmt.Errorf("field %s.rps: not above 0", field)
	case !(l.WriteRPS > 0):
		return fmt.Errorf("field %s.write_rps: not above 0", field)
	case l.TxnOps < tuning.TransactionMutationsMin:
		return fmt.Errorf("field %s.txn_ops: below %d, the mutations in the transaction that ends a job", field, tuning.TransactionMutationsMin)
	case l.ValueKB < tuning.ValueMinKB:
		return fmt.Errorf("field %s.value_kb: below %v, the size of a segment of a run record", field, tuning.ValueMinKB)
	}
	return nil
}
