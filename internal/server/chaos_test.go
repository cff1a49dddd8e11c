package server

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
)

// Chaos: failures at random, several at once, with late copies of reports,
// commands, commits and rentals, with 3, 5 and 7 controllers.
func TestChaos(t *testing.T) {
	for seed := range seeds(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			var names []string
			for i := range 3 + 2*(seed%3) {
				names = append(names, fmt.Sprint("marble-", i))
			}
			runWith(t, 1000+seed, names, func(c *testCluster) { chaos(c, seed) })
		})
	}
}

// chaos submits and cancels jobs of all shapes while nodes die, links are cut,
// machines hang and vanish and the state service refuses one or all.
func chaos(c *testCluster, seed uint64) { chaosDuring(c, seed, func(int) bool { return true }) }

// chaosDuring is chaos with a step of the scenario's own before each of its steps;
// it returns whether jobs may wait for others by then.
func chaosDuring(c *testCluster, seed uint64, before func(step int) bool) {
	rng := rand.New(rand.NewPCG(seed, 7))
	c.network.Repeat = map[string]time.Duration{"/do": 20 * time.Second, "/hello": 40 * time.Second, "/commit": 20 * time.Second,
		"/rentals": 20 * time.Second, "/rentals/return": 20 * time.Second, "/v1/jobs": 60 * time.Second}
	c.env.Limit("small", "a", true, 2)
	c.env.Limit("big", "a", true, 1)
	c.env.Limit("big", "b", false, 3)
	// Lists have several pages, as at production size.
	c.env.Store.PageMost, c.env.PageMost = 1+rng.IntN(20), 1+rng.IntN(5)
	next := 0
	var mu sync.Mutex
	var keep []protocol.JobID     // jobs that must be done in the end, unless one they need is cancelled
	var accepted []protocol.JobID // jobs that others may wait for
	later := func(d time.Duration, f func()) {
		go func() {
			time.Sleep(d)
			if c.ctx.Err() == nil {
				f()
			}
		}()
	}
	secs := func(low, high int) time.Duration {
		return time.Duration(low+rng.IntN(high-low)) * time.Second
	}
	for step := range 70 {
		chains := before(step)
		next++
		var job protocol.Job
		runS := float64(5 + rng.IntN(40))
		switch rng.IntN(4) {
		case 0:
			job = serviceJob(next, 1+rng.IntN(3))
		case 1:
			job = gangJob(next, 1+rng.IntN(3))
		default:
			job = arrayJob(next, "check", 1+rng.IntN(20))
		}
		if rng.IntN(2) == 0 && job.Kind != protocol.KindGang {
			job.Team = "blue"
		}
		cancel := job.Kind == protocol.KindService || rng.IntN(4) == 0
		mu.Lock()
		for range rng.IntN(3) {
			if chains && len(accepted) > 0 && job.Kind != protocol.KindService {
				job.DependsOn = append(job.DependsOn, accepted[rng.IntN(len(accepted))])
			}
		}
		mu.Unlock()
		after := secs(1, 60)
		go func() {
			// A submission that was not taken in its time is no promise.
			if st := c.env.Submit(job, runS); st == 200 || st == 201 {
				mu.Lock()
				if !cancel {
					keep = append(keep, job.ID)
				}
				if job.Kind != protocol.KindService {
					accepted = append(accepted, job.ID)
				}
				mu.Unlock()
			}
			if cancel {
				time.Sleep(after)
				if c.ctx.Err() == nil {
					c.env.Cancel(job.ID)
				}
			}
		}()
		name := c.names[rng.IntN(len(c.names))]
		mode := fake.Cut(1 + rng.IntN(2))
		machines := c.env.Machines()
		machine := ""
		if len(machines) > 0 {
			machine = machines[rng.IntN(len(machines))]
		}
		switch rng.IntN(22) {
		case 0:
			c.kill(name)
			later(secs(1, 6), func() { c.boot(name) })
			time.Sleep(6 * time.Second)
		case 1:
			later(secs(3, 40), c.cut(name, "state", mode))
		case 2:
			c.env.Store.Refuse(name, true)
			later(secs(3, 40), func() { c.env.Store.Refuse(name, false) })
		case 3:
			if rng.IntN(3) == 0 {
				c.env.Store.Refuse("", true)
				later(secs(3, 40), func() { c.env.Store.Refuse("", false) })
			}
		case 4:
			if machine != "" {
				later(secs(3, 40), c.isolate(machine, mode, c.names...))
			}
		case 5:
			if machine != "" {
				later(secs(3, 40), c.env.Hang(machine))
			}
		case 6:
			if machine != "" {
				c.env.Kill(machine)
			}
		case 7:
			if machine != "" {
				later(secs(3, 40), c.cut(name, machine, mode))
			}
		case 8: // back at once, also while others take the term
			for range 1 + rng.IntN(3) {
				c.kill(name)
				time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
				c.boot(name)
				time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			}
		case 9: // its reports arrive, answers and commands do not
			if machine != "" {
				later(secs(3, 40), c.network.DropInbound(machine))
			}
		case 10: // no state service and no peers, but workers and users
			later(secs(3, 60), c.cut(name, "state", mode))
			for _, other := range c.names {
				if other != name {
					later(secs(3, 60), c.cut(name, other, mode))
				}
			}
		case 14: // it reaches nobody, commands reach it
			if machine != "" {
				later(secs(3, 40), c.network.BlockOutbound(machine))
			}
		case 15: // all of them, for longer than a lease
			for _, m := range machines {
				later(secs(13, 25), c.network.BlockOutbound(m))
			}
		case 16: // transactions without an answer are carried out late
			c.env.Store.Late = c.lateCommits(0.15)
			later(secs(5, 30), func() { c.env.Store.Late = nil })
		case 20, 21: // answers of transactions are lost, and some are refused when sent again
			c.env.Store.Fault = c.faultyCommits()
			later(secs(5, 40), func() { c.env.Store.Fault = nil })
		case 17: // it hangs between a command and its answer
			if machine != "" {
				c.env.HangInCommand(machine, secs(1, 25))
			}
		case 18: // users cancel at the moment the leader is refused, and all a second later
			if l := c.leader(); l != "" {
				name = l
			}
			c.env.Store.Refuse(name, true)
			mu.Lock()
			if len(keep) > 0 {
				jobID := keep[len(keep)-1]
				keep = keep[:len(keep)-1]
				go c.env.Cancel(jobID)
			}
			mu.Unlock()
			time.Sleep(time.Second)
			c.env.Store.Refuse("", true)
			later(secs(38, 60), func() {
				c.env.Store.Refuse("", false)
				c.env.Store.Refuse(name, false)
			})
		case 19: // users' requests that lack a field or can't be met
			bad := arrayJob(900000+next, "check", 1)
			go c.env.Refused(bad, func(m map[string]any) { delete(m, "imageGb") }, 400)
			go c.env.Refused(bad, func(m map[string]any) { m["cores"] = 17 }, 422)
		case 12: // a node, mostly the leader, that loses all workers
			if l := c.leader(); l != "" && rng.IntN(3) > 0 {
				name = l
			}
			later(secs(3, 60), c.isolate(name, mode, machines...))
		case 13: // a zone is cut off from everything, with its controllers
			var inside, outside []string
			for i, n := range c.names {
				if i%2 == 0 {
					inside = append(inside, n)
				} else {
					outside = append(outside, n)
				}
			}
			for _, m := range machines {
				if c.env.Zone(m) == "a" {
					inside = append(inside, m)
				} else {
					outside = append(outside, m)
				}
			}
			outside = append(outside, "state", "cloud", "users")
			var mends []func()
			for _, in := range inside {
				mends = append(mends, c.isolate(in, mode, outside...))
			}
			later(secs(3, 40), func() {
				for _, mend := range mends {
					mend()
				}
			})
		case 11:
			for _, other := range c.names {
				if other != name {
					later(secs(3, 40), c.cut(name, other, mode))
				}
			}
		}
		if rng.IntN(3) > 0 {
			time.Sleep(secs(1, 12))
		}
		mu.Lock()
		for _, jobID := range keep {
			if rng.IntN(8) == 0 {
				go c.env.Poll(jobID)
			}
		}
		mu.Unlock()
	}
	time.Sleep(90 * time.Second)
	c.env.EndTroubles() // whatever was under way is over
	mu.Lock()
	jobIDs := slices.DeleteFunc(slices.Clone(keep), func(jobID protocol.JobID) bool { return !c.env.MayFinish(jobID) })
	mu.Unlock()
	if len(jobIDs) == 0 {
		c.t.Fatal("no job was accepted")
	}
	c.known(jobIDs...)
	c.untilDone(10*time.Minute, jobIDs...)
	time.Sleep(time.Minute)
}
