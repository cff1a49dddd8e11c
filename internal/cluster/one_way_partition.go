package cluster

import (
	"marblehaven/internal/tuning"
)

// RecordAnswer notes that a report is answered with the machine's token.
func (m *Machine) RecordAnswer() { m.answeredToken = m.IssuedToken }

// OneWayPartitioned tells whether the worker's reports arrive while our answers do not reach
// it. That we answered proves nothing then: its lease is running out.
func (m *Machine) OneWayPartitioned() bool {
	return m.unacknowledged >= tuning.OneWayPartitionHeartbeats
}
