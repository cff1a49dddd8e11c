package records

// RunRecord says what has been done of an open job. Placements holds every task that may be on
// a machine: a placement is written before the start command is sent, and removed only on
// proof that the task is gone.
type RunRecord struct {
	NextAttempt uint64      `msgpack:"n"` // the next unused attempt number
	Done        TaskRanges  `msgpack:"d"`
	Placements  []Placement `msgpack:"l"`
}
