package tuning

import "time"

// Constants of the status page and the log.
const (
	// ErrorLogInterval is the least pause between two log lines about malformed messages,
	// and how long production tasks may wait before their job counts as overdue.
	ErrorLogInterval = 5 * time.Second

	// OverdueLogInterval is the least pause between two log lines about overdue production
	// jobs. The lines are written for human readers.
	OverdueLogInterval = 10 * time.Second

	// StatusInterval is the pause between two summaries for the status page, which the
	// browser reloads every 10 s.
	StatusInterval = 1 * time.Second

	// UnknownTasksShown is the largest number of tasks without a record that the status page
	// shows, so that the page stays short.
	UnknownTasksShown = 20
)
