package fake

import "time"

// maxCommandsPerSecond is how many direct commands an agent may get in a second. A leader sends
// commands for tasks, and asks an agent that is silent or has not accepted its token; a repeat
// waits.
const maxCommandsPerSecond = 20

// commandRate counts the direct commands that an agent has got in the current second.
type commandRate struct {
	since time.Time
	count int
}

// checkCommandRate checks that no leader repeats commands to an agent without a pause. Commands
// that a cut has held back arrive together, so each counts in the second in which it was sent.
func (c *checker) checkCommandRate(machine *machineAgent, sent time.Time) {
	if second := sent.Truncate(time.Second); !second.Equal(machine.commandRate.since) {
		machine.commandRate = commandRate{since: second}
	}
	machine.commandRate.count++
	if machine.commandRate.count == maxCommandsPerSecond+1 {
		c.addViolation("command_flood: more than %d direct commands in a second to %s at %v", maxCommandsPerSecond, machine.id, sent)
	}
}
