package records

// RunRecord is the stored progress of an open job. Placements holds every task that may run on
// a machine: a placement is written before the start command is sent, and removed only on proof
// that the task has ended.
type RunRecord struct {
	NextAttempt uint64      `msgpack:"n"` // the next unused attempt number
	Done        TaskRanges  `msgpack:"d"`
	Placements  []Placement `msgpack:"l"`
}
