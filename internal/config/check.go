package config

import (
	"errors"
	"fmt"
	"math"
	"net"

	"marblehaven/internal/tuning"
)

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
