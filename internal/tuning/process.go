package tuning

// Constants of a process's memory.
const (
	// MemoryShare is the share of the memory limit that is given to the Go runtime as its
	// soft limit. The rest covers memory that the runtime does not count.
	MemoryShare = 0.75

	// MemoryMinMB is the least memory limit, in MB, with which the settings are accepted.
	// The program and the runtime take half of it when idle.
	MemoryMinMB = 64

	// GCPercent is how much the heap may grow before it is collected, in percent. Processor
	// time is scarcer than memory, which has its own limit.
	GCPercent = 400
)
