package tuning

// Constants of the means of a process: sockets, memory, logs.
const (
	// MemoryShare is the part of the memory limit given to the Go runtime.
	MemoryShare = 0.75

	// MemoryMinMB is the least memory to serve with, in MB: the program and the
	// runtime take half of it when idle.
	MemoryMinMB = 64

	// GCPercent is how much the heap may grow before it is collected, in percent:
	// processor time is scarcer than memory, which has its own limit above.
	GCPercent = 400
)
