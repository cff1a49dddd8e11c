package records

// RunRecord is what was done about an open job. Live holds every task that may be on
// a machine: it is written before a start is sent, and shrinks on proof only.
type RunRecord struct {
	NextAttempt uint64      `msgpack:"n"` // the next unused attempt number
	Done        TaskRanges  `msgpack:"d"`
	Placements  []Placement `msgpack:"l"`
}
