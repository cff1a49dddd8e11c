package leader

import (
	"cmp"
	"slices"
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// dispatch sends what is due to a machine directly.
func (c *Leader) dispatch(machine *cluster.Machine, now time.Time) {
	if machine.CommandInFlight || !machine.Up || machine.Addr == "" || machine.Incarnation <= machine.ExpiredIncarnation {
		return
	}
	var orders []protocol.Command
	starts := false
	for _, placement := range machine.Placements {
		if placement.Stopping && placement.Sent && now.Sub(placement.StopOrderedAt) < tuning.TickInterval {
			orders = append(orders, protocol.Command{Verb: protocol.VerbStop, Task: taskName(placement.TaskKey), Attempt: placement.Attempt, GracePeriodS: placement.GracePeriodS})
			placement.StopOrderedAt = now.Add(-tuning.TickInterval) // the reports carry repeats
		}
	}
	// Placed before an outage or a standstill, its job may be cancelled by now.
	mayStart := now.Sub(c.lastConfirmation()) < tuning.StartConfirmationAge
	waiting := machine.Outbox[:0]
	for _, placement := range machine.Outbox {
		switch {
		case machine.Placements[placement.TaskKey] != placement || placement.Sent:
		case placement.Stopping || placement.Incarnation != machine.Incarnation || machine.AcknowledgedToken < c.termToken():
			c.withdrawPlacement(placement, now) // never sent, so it can be taken back
		case !mayStart:
			waiting = append(waiting, placement)
		default:
			machine.RecordStart(placement)
			starts = true
			orders = append(orders, protocol.Command{Verb: protocol.VerbStart, Task: taskName(placement.TaskKey), Attempt: placement.Attempt})
		}
	}
	machine.Outbox = waiting
	if len(orders) > 0 {
		c.sendCommands(machine, orders, machine.Incarnation, starts, false)
	}
}

// planHandshakes lists the machines that are due for a handshake: those not tried yet, of
// these the ones with production work, then those with other work. After a
// takeover that is the whole fleet, and one after another takes the processor's
// time from what holds the leases.
func (c *Leader) planHandshakes(now time.Time) {
	type due struct {
		m     *cluster.Machine
		order int
	}
	var dues []due
	for _, machine := range c.machines.sorted {
		if !c.needsHandshake(machine, now) {
			continue
		}
		d := due{machine, 2}
		switch {
		case c.runsProduction(machine):
			d.order = 0
		case len(machine.Placements) > 0:
			d.order = 1
		}
		if !machine.NextHandshake.IsZero() {
			d.order += 3
		}
		dues = append(dues, d)
	}
	slices.SortStableFunc(dues, func(a, b due) int { return cmp.Compare(a.order, b.order) })
	c.dispatcher.handshakeQueue = c.dispatcher.handshakeQueue[:0]
	for _, d := range dues {
		c.dispatcher.handshakeQueue = append(c.dispatcher.handshakeQueue, d.m)
	}
	c.nextHandshakes(now)
}

// nextHandshakes begins as many handshakes as may be under way at once.
func (c *Leader) nextHandshakes(now time.Time) {
	for len(c.dispatcher.handshakeQueue) > 0 && c.dispatcher.handshakesInFlight < tuning.HandshakesInFlight {
		machine := c.dispatcher.handshakeQueue[0]
		c.dispatcher.handshakeQueue = c.dispatcher.handshakeQueue[1:]
		c.handshake(machine, now)
	}
}

// needsHandshake tells whether a machine runs and has not seen the term's token, or has said
// nothing for a lease, after which what ran on it is gone if it is there at all.
func (c *Leader) needsHandshake(machine *cluster.Machine, now time.Time) bool {
	return !machine.CommandInFlight && !machine.Deprovisioning && machine.Addr != "" && !now.Before(machine.NextHandshake) &&
		(machine.AcknowledgedToken < c.termToken() || machine.Up && now.Sub(machine.LastContact) > seconds(c.Config.Deployment.Workers.LeaseS))
}

// handshake shows the term's token to a machine that runs but has not reported yet,
// so that a new leader need not wait for its next report. A first call with the
// wrong tenure is refused, and the refusal names the right one. A silent machine that
// answers after a lease has begun a new session: it cannot report, but it is there.
func (c *Leader) handshake(machine *cluster.Machine, now time.Time) {
	if !c.needsHandshake(machine, now) {
		return
	}
	machine.NextHandshake = now.Add(tuning.HandshakeInterval)
	c.dispatcher.handshakesInFlight++
	c.sendCommands(machine, nil, lastIncarnation(machine), false, true)
}

// lastIncarnation is the latest session of a machine that is known, from its reports or
// from the records.
func lastIncarnation(machine *cluster.Machine) protocol.Incarnation {
	session := max(machine.Incarnation, 1)
	for _, placement := range machine.Placements {
		session = max(session, placement.Incarnation)
	}
	return session
}

func (c *Leader) sendCommands(machine *cluster.Machine, orders []protocol.Command, incarnation protocol.Incarnation, starts, handshake bool) {
	machine.CommandInFlight = true
	if orders == nil {
		orders = []protocol.Command{}
	}
	req, addr := protocol.CommandRequest{Token: machine.IssuedToken, Incarnation: incarnation, Commands: orders}, machine.Addr
	go func() {
		heartbeat, err := c.Agents.SendCommands(c.ctx, addr, req)
		c.post(commandResult{machine, heartbeat, starts, handshake, err})
	}()
}

func (c *Leader) onCommandResult(d commandResult, now time.Time) {
	d.machine.RecordCommandOutcome(d.starts, d.err == nil)
	if d.handshake {
		c.dispatcher.handshakesInFlight--
		defer c.nextHandshakes(now)
	}
	c.dispatcher.pending[d.machine] = true
	if d.err != nil {
		// The commands may still be executed, even minutes later.
		c.Log.Info("direct command unanswered", "machine", d.machine.ID, "err", d.err)
		return
	}
	if d.status.Token.Term() > c.leadership.Term {
		c.OnNewerTerm(d.status.Token.Term())
		return
	}
	if d.status.Machine == d.machine.ID {
		c.applyStatus(d.machine, d.status, now)
		if d.machine.AcknowledgedToken < c.termToken() {
			d.machine.NextHandshake = now // refused for its tenure, which is known now
			c.handshake(d.machine, now)
		}
	}
}
