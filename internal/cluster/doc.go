// Package cluster keeps what one leader knows of each machine: the agent on it, the
// agent's lease and incarnation, the fencing tokens exchanged with the agent, and the
// tasks that may run there.
//
// The package owns the type Machine and its parts. It sends nothing, stores nothing and
// reads no clock: the leader's actor passes in what arrives together with the time,
// calls all methods from one goroutine, and carries out what they return.
//
// The package must never report a placement as ended without proof that the task does
// not run and that no start of the attempt can arrive any more and run it. The leader
// starts an ended task elsewhere, and a task must not run twice at a time. A missing
// heartbeat, a late copy of a heartbeat and an unanswered command prove nothing. The
// proofs are listed at Machine.ApplyStatus and Machine.ExpireLease. The leader has one
// more, the cloud's answer that a machine was returned.
package cluster
