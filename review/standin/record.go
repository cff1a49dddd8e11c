//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a run: one line for each thing that was sent, answered or
// run, with the seconds since the start. It is safe for concurrent use.
type recorder struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// seconds returns the time since the start of the run.
func (r *recorder) seconds() float64 { return time.Since(r.start).Seconds() }

// add writes a line about somebody.
func (r *recorder) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %-14s %s\n", r.seconds(), who, fmt.Sprintf(format, args...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
