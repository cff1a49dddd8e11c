package tuning

import "time"

// Constants of the status page and the log.
const (
	// ErrorLogInterval limits repeated complaints about one source.
	ErrorLogInterval = 5 * time.Second

	// OverdueLogInterval limits the liaison's log line about late production work.
	OverdueLogInterval = 10 * time.Second

	// StatusInterval is how often the summary for the status page is made.
	StatusInterval = 1 * time.Second

	// UnknownTasksShown is how many tasks that no record names are on the status page.
	UnknownTasksShown = 20
)
