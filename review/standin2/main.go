//go:build review2

// Command standin2 plays a case of the second review: it starts the controllers with the
// command of the deploy file, plays the state service, the cloud, the workers and the users
// around them on loopback, and judges what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each returns whether the rule was broken, or an error if it
// could not run. trouble says whether the disruption is played.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"left-waiting": leftWaiting,
	"restarted":    restarted,
	"late-copy":    lateCopy,
}

// sites holds the settings of each case.
var sites = map[string]func() site{
	"left-waiting": tightSavekeep,
	"restarted":    oneMachine,
	"late-copy":    threeMachines,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns the exit code.
func play(name, recordPath string, trouble bool) int {
	w, err := newWorld(sites[name](), recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	}
	defer w.end()
	go w.endEarly()
	if err := w.start(); err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	}
	broken, err := cases[name](w, trouble)
	switch {
	case err != nil:
		w.record.add("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}

// caseLimit is the longest time that a case may take.
const caseLimit = 115 * time.Second

// endEarly ends all processes when the case is stopped or takes too long.
func (w *world) endEarly() {
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-stopped:
	case <-time.After(caseLimit):
	}
	w.record.add("stopped early")
	w.end()
	os.Exit(exitNotRun)
}
