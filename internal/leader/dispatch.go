package leader

import (
	"cmp"
	"slices"
	"time"

	"marblehaven/internal/cluster"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// dispatcher tracks the machines for which direct commands are due. A direct command is
// sent without waiting for the machine's next heartbeat.
type dispatcher struct {
	pending            map[*cluster.Machine]bool
	handshakeQueue     []*cluster.Machine // see planHandshakes
	handshakesInFlight int
}

func newDispatcher() dispatcher { return dispatcher{pending: map[*cluster.Machine]bool{}} }

func (d *dispatcher) add(machine *cluster.Machine) { d.pending[machine] = true }

func (d *dispatcher) remove(machine *cluster.Machine) { delete(d.pending, machine) }

// commandResult is the outcome of a request with direct commands. Commands without an
// answer may still be executed, even minutes later.
type commandResult struct {
	machine     *cluster.Machine
	incarnation protocol.Incarnation // that the request was addressed to
	status      *protocol.Heartbeat
	hasStarts   bool // the commands included starts
	isHandshake bool
	err         error
}

// dispatchAll sends the pending commands to the machines that have no command in flight.
func (l *Leader) dispatchAll(now time.Time) {
	for machine := range l.dispatcher.pending {
		if !machine.CommandInFlight {
			l.dispatcher.remove(machine)
			l.dispatch(machine, now)
		}
	}
}

// dispatch sends the pending stops and starts to a machine, unless a command to it is in
// flight or its agent cannot take commands: not up, no address, or incarnation expired.
func (l *Leader) dispatch(machine *cluster.Machine, now time.Time) {
	if machine.CommandInFlight || !machine.Up || machine.Addr == "" || machine.Incarnation <= machine.ExpiredIncarnation {
		return
	}
	commands := stopCommands(machine, now)
	starts := l.startCommands(machine, now)
	commands = append(commands, starts...)
	if len(commands) > 0 {
		l.sendCommands(machine, commands, machine.Incarnation, len(starts) > 0, false)
	}
}

// stopCommands returns the stops that were ordered within the last tick interval and not
// sent yet. It marks each of them as sent by setting StopOrderedAt to one tick interval
// ago, so that each stop is sent directly only once. The replies to heartbeats repeat the
// stops.
func stopCommands(machine *cluster.Machine, now time.Time) (commands []protocol.Command) {
	for _, placement := range machine.Placements {
		if placement.Stopping && placement.Sent && now.Sub(placement.StopOrderedAt) < tuning.TickInterval {
			commands = append(commands, protocol.Command{Verb: protocol.VerbStop, Task: taskName(placement.TaskKey),
				Attempt: placement.Attempt, GracePeriodS: placement.GracePeriodS})
			placement.StopOrderedAt = now.Add(-tuning.TickInterval)
		}
	}
	return commands
}

// startCommands returns the recorded starts to be sent now, and withdraws the placements
// whose starts must not be sent any more.
func (l *Leader) startCommands(machine *cluster.Machine, now time.Time) (commands []protocol.Command) {
	// A job may be cancelled during an outage of the store or a pause of this process,
	// and the leader receives the cancellation only afterwards. Starts therefore wait
	// until the store has confirmed again that the leader has missed neither a newer term
	// nor a cancellation.
	mayStart := l.lease.mayStart(now)
	waiting := machine.Outbox[:0]
	for _, placement := range machine.Outbox {
		switch {
		case machine.Placements[placement.TaskKey] != placement || placement.Sent:
		case placement.Stopping || placement.Incarnation != machine.Incarnation || machine.AcknowledgedToken < l.termToken():
			l.withdrawPlacement(placement, now) // its start was never sent
		case !mayStart:
			waiting = append(waiting, placement)
		default:
			machine.RecordStart(placement)
			commands = append(commands, protocol.Command{Verb: protocol.VerbStart, Task: taskName(placement.TaskKey), Attempt: placement.Attempt})
		}
	}
	machine.Outbox = waiting
	return commands
}

func (l *Leader) sendCommands(machine *cluster.Machine, commands []protocol.Command, incarnation protocol.Incarnation, hasStarts, isHandshake bool) {
	machine.CommandInFlight = true
	if commands == nil {
		commands = []protocol.Command{}
	}
	request := protocol.CommandRequest{Token: machine.IssuedToken, Incarnation: incarnation, Commands: commands}
	address := machine.Addr
	go func() {
		status, err := l.Agents.SendCommands(l.ctx, address, request)
		l.post(commandResult{machine, incarnation, status, hasStarts, isHandshake, err})
	}()
}

func (r commandResult) apply(leader *Leader, now time.Time) { leader.onCommandResult(r, now) }

func (l *Leader) onCommandResult(result commandResult, now time.Time) {
	machine := result.machine
	machine.RecordCommandOutcome(result.hasStarts, result.err == nil)
	if result.isHandshake {
		l.dispatcher.handshakesInFlight--
		defer l.startHandshakes(now)
	}
	l.dispatcher.add(machine)
	if result.err != nil {
		l.Log.Info("direct command unanswered, its outcome is unknown", "machine", machine.ID, "err", result.err)
		return
	}
	if newerTerm := result.status.Token.Term(); newerTerm > l.leadership.Term {
		l.OnNewerTerm(newerTerm)
		return
	}
	if result.status.Machine != machine.ID {
		return
	}
	l.detectRestart(machine, result.status)
	l.applyStatus(machine, result.status, now)
	machine.RecordAnsweredIncarnation(result.status.Incarnation)
	if machine.AcknowledgedToken < l.termToken() && result.status.Incarnation != result.incarnation {
		// The agent has not accepted the term's token, because the request carried a wrong
		// incarnation. The answer names the right one, so a handshake is made at once.
		machine.NextHandshake = now
		l.handshake(machine, now)
	}
}

// Handshakes with machines are made in this order.
const (
	handshakeProduction = iota
	handshakeOtherTasks
	handshakeWithoutTasks
	handshakeGroupCount // number of the groups above; added for machines that were tried already, so that they come last
)

// planHandshakes queues the machines that are due for a handshake: those not tried yet
// before the others, and within both groups those with production tasks first. After a
// failover every machine is due, and each handshake takes processor time from the
// replies that renew leases.
func (l *Leader) planHandshakes(now time.Time) {
	type dueMachine struct {
		machine *cluster.Machine
		order   int
	}
	var due []dueMachine
	for _, machine := range l.machines.sorted {
		if !l.needsHandshake(machine, now) {
			continue
		}
		order := handshakeWithoutTasks
		switch {
		case l.runsProduction(machine):
			order = handshakeProduction
		case len(machine.Placements) > 0:
			order = handshakeOtherTasks
		}
		if !machine.NextHandshake.IsZero() {
			order += handshakeGroupCount
		}
		due = append(due, dueMachine{machine, order})
	}
	slices.SortStableFunc(due, func(a, b dueMachine) int { return cmp.Compare(a.order, b.order) })
	l.dispatcher.handshakeQueue = l.dispatcher.handshakeQueue[:0]
	for _, d := range due {
		l.dispatcher.handshakeQueue = append(l.dispatcher.handshakeQueue, d.machine)
	}
	l.startHandshakes(now)
}

// startHandshakes makes queued handshakes until tuning.HandshakesInFlight are in flight.
func (l *Leader) startHandshakes(now time.Time) {
	for len(l.dispatcher.handshakeQueue) > 0 && l.dispatcher.handshakesInFlight < tuning.HandshakesInFlight {
		machine := l.dispatcher.handshakeQueue[0]
		l.dispatcher.handshakeQueue = l.dispatcher.handshakeQueue[1:]
		l.handshake(machine, now)
	}
}

// needsHandshake reports whether a handshake with a machine is due: the machine has not
// acknowledged a token of this term, or has been silent for the length of a lease, after
// which its agent has ended all tasks.
func (l *Leader) needsHandshake(machine *cluster.Machine, now time.Time) bool {
	if machine.CommandInFlight || machine.Deprovisioning || machine.Addr == "" || now.Before(machine.NextHandshake) {
		return false
	}
	silentForLease := machine.Up && now.Sub(machine.LastContact) > l.Config.Deployment.Workers.LeaseDuration()
	return machine.AcknowledgedToken < l.termToken() || silentForLease
}

// handshake sends the term's token to an agent in a request without commands, so that a
// new leader need not wait for the agent's next heartbeat. An agent refuses a request
// with a wrong incarnation, and the refusal names the right one. A silent agent whose lease
// has expired has begun a new incarnation. Its answer to the handshake names the new
// incarnation, which proves that the tasks of earlier incarnations have ended. The answer
// also shows that the agent runs, although none of its heartbeats arrive.
func (l *Leader) handshake(machine *cluster.Machine, now time.Time) {
	if !l.needsHandshake(machine, now) {
		return
	}
	machine.NextHandshake = now.Add(tuning.HandshakeInterval)
	l.dispatcher.handshakesInFlight++
	l.sendCommands(machine, nil, machine.CommandIncarnation(), false, true)
}
