//go:build review

// Command standin plays the outside world for the cases of the review: it starts the
// project's controllers as separate processes on loopback, serves them with stand-ins of the
// state service, the cloud, the workers and the users, causes the trouble of one case, and
// checks one rule from what users, workers and the cloud see.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could
// not run. Without trouble (-trouble=false) the same happens except the trouble itself.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCouldNot  = 2
	longestRun    = 118 * time.Second
	recordDefault = "record.txt"
)

// cases holds the function of each case by its name.
var cases = map[string]func(w *world) verdict{
	"stopped-machine": stoppedMachine,
	"replaced-leader": replacedLeader,
	"mistaken-jobs":   mistakenJobs,
}

// verdict is the result of a case. problem is set if the case could not run, violation if
// the rule was broken.
type verdict struct {
	problem, violation string
}

func main() {
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", recordDefault, "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "cause the trouble of the case")
	root := flag.String("root", ".", "root of the repository")
	flag.Parse()
	run, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case:", *name)
		os.Exit(exitCouldNot)
	}
	w, err := newWorld(*root, *recordPath, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitCouldNot)
	}
	result := make(chan verdict, 1)
	go func() { result <- run(w) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	var v verdict
	select {
	case v = <-result:
	case <-interrupted:
		v = verdict{problem: "interrupted"}
	case <-time.After(longestRun):
		v = verdict{problem: fmt.Sprintf("not over after %v", longestRun)}
	}
	code := w.conclude(v)
	w.close()
	os.Exit(code)
}

// conclude records the verdict, prints it and returns the exit code.
func (w *world) conclude(v verdict) int {
	code, text := exitHeld, "the rule held"
	switch {
	case v.problem != "":
		code, text = exitCouldNot, "the case could not run: "+v.problem
	case v.violation != "":
		code, text = exitBroken, "the rule was broken: "+v.violation
	}
	w.rec.add("verdict", "%s", text)
	fmt.Println(text)
	return code
}
