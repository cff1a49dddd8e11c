package cluster

import (
	"slices"

	"marblehaven/internal/protocol"
)

type attemptKey struct {
	TaskKey
	attempt uint64
}

// RecordStart notes that a placement's start is about to be sent.
func (m *Machine) RecordStart(placement *Placement) {
	m.statusMatches = false
	placement.Sent, placement.StartToken = true, m.IssuedToken
	m.startTokens[attemptKey{placement.TaskKey, placement.Attempt}] = m.IssuedToken
}

// MayRelease tells whether an ended attempt may be forgotten by the worker: not
// while a start of it could still arrive, late or as a copy, and run it again.
func (m *Machine) MayRelease(key TaskKey, attempt uint64) bool {
	return !m.CommandInFlight && m.AcknowledgedToken >= m.firstTokenOfTerm() && m.AcknowledgedToken > m.startTokens[attemptKey{key, attempt}]
}

// firstTokenOfTerm is the first token of the present term.
func (m *Machine) firstTokenOfTerm() protocol.FencingToken {
	return m.IssuedToken.Term().FirstToken()
}

// pruneStartTokens forgets the tokens of starts of what is neither live nor listed.
func (m *Machine) pruneStartTokens() {
	for start := range m.startTokens {
		listed := func(task ReportedTask) bool {
			return task.Parsed && task.Key == start.TaskKey && task.Attempt == start.attempt
		}
		if m.Placements[start.TaskKey] == nil && !slices.ContainsFunc(m.ReportedTasks, listed) {
			delete(m.startTokens, start)
		}
	}
}

// RecordCommandOutcome notes how a direct command with or without starts went. The higher
// token that follows makes the worker refuse late ones and copies of it once it
// was shown. If the outcome is unknown, no new work is given before that.
func (m *Machine) RecordCommandOutcome(hadStarts, known bool) {
	m.CommandInFlight = false
	if known {
		m.UnansweredCommands = 0
	} else {
		m.UnansweredCommands++
	}
	if hadStarts || !known {
		m.IssuedToken++
	}
	if !known {
		m.RequiredToken = m.IssuedToken
	}
}
