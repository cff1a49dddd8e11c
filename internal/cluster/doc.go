// Package cluster holds a leader's view of each machine: the agent on the machine, the
// agent's lease and incarnation, the fencing tokens exchanged with the agent, and the
// tasks that may run there.
//
// The package owns the type Machine and its parts. It sends nothing, stores nothing and
// reads no clock: the leader's actor passes in the messages that arrive and the time,
// calls all methods from one goroutine, and carries out what they return.
//
// The package must never report a placement as ended without proof that the task does not
// run and that no start of the attempt can still arrive and be executed. The leader
// starts an ended task on another machine, and a task must not run twice at the same
// time. A missing heartbeat, a late copy of a heartbeat and an unanswered command prove
// nothing. Machine.ApplyStatus and Machine.ExpireLease list the proofs. The leader has
// one more proof: the cloud's answer that a machine was returned.
package cluster
