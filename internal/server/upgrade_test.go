package server

import (
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// wide is a deployment in which hundreds of tasks of a job run at once, with smaller
// limits of the state service announced.
func wide() config.Deployment {
	d := testDeployment()
	d.Teams[0].CoresMax = 400
	value, ops, rps := 2.0, 6, 30.0
	d.State.Next = config.NextLimits{ValueKB: &value, TxnOps: &ops, WriteRPS: &rps}
	return d
}

// array is a large array of small tasks.
func array(n, tasks int) protocol.Job {
	job := arrayJob(n, "check", tasks)
	job.Cores, job.MemGB = 1, 2
	return job
}

// runUpgrade plays a scenario that begins with the previous version on all nodes.
func runUpgrade(t *testing.T, seed uint64, scenario func(c *testCluster)) {
	runUpgradeIn(t, seed, nodeNames, wide(), scenario)
}

func runUpgradeIn(t *testing.T, seed uint64, names []string, dep config.Deployment, scenario func(c *testCluster)) {
	runIn(t, seed, names, dep, func(c *testCluster) {
		c.restartAs(true, names...)
		c.env.Store.OnCommit = func(txn *protocol.Transaction) {
			c.checkGuards(txn)
			c.checkFormat(txn)
		}
		for _, key := range c.env.Store.Keys(records.PrefixNode) {
			c.env.Store.Remove(key)
		}
		c.env.Store.Remove(records.KeyCluster)
		c.restartAs(true, names...)
		c.until("a node leads", time.Minute, func() bool { return c.leader() != "" })
		scenario(c)
	})
}

// checkFormat judges that nothing is written that the previous version can't read as
// long as it may still lead.
func (c *testCluster) checkFormat(txn *protocol.Transaction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, mutation := range txn.Mutations {
		if isFurtherPiece(mutation.Set) && slices.ContainsFunc(c.names, func(n string) bool { return c.previous[n] }) {
			c.t.Errorf("%s is written while not all can read it", mutation.Set)
		}
	}
}

// restartAs restarts nodes as the previous or the present version.
func (c *testCluster) restartAs(previous bool, names ...string) {
	for _, name := range names {
		c.kill(name)
		c.mu.Lock()
		c.previous[name] = previous
		c.mu.Unlock()
		c.boot(name)
	}
}

// pieces counts the pieces of run records beyond the first of each job.
func (c *testCluster) pieces() (n int) {
	for _, key := range c.env.Store.Keys(records.PrefixOpen) {
		if isFurtherPiece(key) {
			n++
		}
	}
	return n
}

// upgraded tells whether the cluster uses the new version of the formats.
func (c *testCluster) upgraded() bool {
	var v records.FormatVersion
	raw := c.env.Store.Value(records.KeyCluster)
	return raw != nil && codec.Unmarshal(raw, &v) == nil && v.Format == records.FormatSegmented
}

func (c *testCluster) untilUpgraded(limit time.Duration) {
	c.t.Helper()
	c.until("the cluster uses the new format", limit, c.upgraded)
}

// Controllers are upgraded one after the other while a large array runs, whose record
// is beyond the limits that come then. The array goes on, in pieces that fit.
func TestUpgrade(t *testing.T) {
	runUpgrade(t, 70, func(c *testCluster) {
		c.submit(array(1, 340), 30)
		c.submit(serviceJob(2, 3), 0)
		c.until("hundreds run", 4*time.Minute, func() bool { return len(c.env.MachinesOf(testJobID(1))) > 200 })
		for i, name := range nodeNames {
			if c.upgraded() {
				t.Errorf("%d of 3 are upgraded, and the cluster uses the new format", i)
			}
			c.restartAs(false, name)
			time.Sleep(8 * time.Second)
		}
		c.untilUpgraded(20 * time.Second)
		c.env.Store.Limit(c.deployment.State.Smaller())
		c.submit(array(3, 340), 20)
		c.until("pieces are written", 2*time.Minute, func() bool { return c.pieces() > 3 })
		whole := c.pipeline(100)
		c.killLeader()
		c.untilDone(10*time.Minute, append(whole, testJobID(1), testJobID(3))...)
		c.until("the pieces are removed", 2*time.Minute, func() bool { return c.pieces() == 0 })
		if n := c.env.Store.Refusals[400]; n > 0 {
			t.Errorf("%d writes beyond the limits", n)
		}
	})
}

// All random troubles while the controllers are upgraded, at random moments, and the
// limits become smaller afterwards, with arrays of several pieces among the jobs.
func TestChaosUpgrade(t *testing.T) {
	for seed := range seeds(3) {
		runUpgrade(t, 760+seed, func(c *testCluster) {
			rng := rand.New(rand.NewPCG(seed, 11))
			var large []protocol.JobID
			left := slices.Clone(nodeNames)
			limitAt := -1
			chaosDuring(c, seed, func(step int) bool {
				if step%20 == 5 {
					job := array(5000+step, 60+rng.IntN(60))
					if st := c.env.Submit(job, 10); st == 200 || st == 201 {
						large = append(large, job.ID)
					}
				}
				if step > 5 && len(left) > 0 && rng.IntN(4) == 0 {
					c.restartAs(false, left[0])
					left = left[1:]
					limitAt = step + rng.IntN(10)
				}
				if len(left) == 0 && step == max(limitAt, 1) {
					c.env.Store.Limit(c.deployment.State.Smaller())
				}
				return len(left) == 0
			})
			c.untilDone(10*time.Minute, large...)
			c.untilUpgraded(time.Minute)
		})
	}
}

// The limits become smaller before the cluster uses the new format, since a node that
// was upgraded could not record it. What runs goes on, and so does new work; no write
// is sent again and again that can't be taken.
func TestLimitsBeforeFormat(t *testing.T) {
	runUpgrade(t, 71, func(c *testCluster) {
		c.env.Uneven = 0.01 // its tasks end one after the other
		c.submit(array(1, 340), 40)
		c.until("hundreds run", 4*time.Minute, func() bool { return len(c.env.MachinesOf(testJobID(1))) > 200 })
		last := nodeNames[2]
		mend := c.cut(last, "state", fake.Hold)
		for _, name := range nodeNames {
			c.restartAs(false, name)
			time.Sleep(3 * time.Second)
		}
		c.env.Store.Limit(c.deployment.State.Smaller())
		c.submit(array(2, 100), 10)
		c.submit(serviceJob(3, 3), 0)
		c.untilDone(8*time.Minute, testJobID(1), testJobID(2))
		if c.upgraded() || c.pieces() > 0 {
			t.Error("the cluster uses the new format without a node")
		}
		// The leader learns of the limits by the first.
		if n := c.env.Store.Refusals[400]; n != 1 {
			t.Errorf("%d writes beyond the limits", n)
		}
		mend()
		c.untilUpgraded(30 * time.Second)
		c.submit(array(4, 200), 10)
		c.untilDone(8*time.Minute, testJobID(4))
	})
}

// A leader that dies after any transaction with which it writes, divides or removes a
// run record leaves a state that the next one reads rightly.
func TestDeathBetweenPieces(t *testing.T) {
	for seed := range seeds(4) {
		runIn(t, 720+seed, nodeNames, wide(), func(c *testCluster) {
			c.untilUpgraded(20 * time.Second)
			c.env.Store.Limit(c.deployment.State.Smaller())
			var transactions, killed uint64
			die := make(chan struct{}, 12)
			c.env.Store.OnCommit = func(txn *protocol.Transaction) {
				c.checkGuards(txn)
				further := func(mutation protocol.Mutation) bool { return isFurtherPiece(mutation.Set + mutation.Delete) }
				if !slices.ContainsFunc(txn.Mutations, further) {
					return
				}
				if transactions++; transactions%3 == seed%3 && killed < 12 {
					killed++
					die <- struct{}{}
				}
			}
			c.env.Store.Late = c.lateCommits(0.03)
			go func() {
				for {
					select {
					case <-c.ctx.Done():
						return
					case <-die:
					}
					if old := c.killLeader(); old != "" {
						time.Sleep(time.Second)
						c.boot(old)
					}
				}
			}()
			c.env.Uneven = 0.02 // so pieces are written again and again
			c.submit(array(1, 200), 10)
			c.submit(array(2, 150), 10)
			c.submit(after(array(3, 70), testJobID(1)), 5)
			c.untilDone(15*time.Minute, testJobID(1), testJobID(2), testJobID(3))
			c.env.Store.Late = nil
			c.until("the pieces are removed", 3*time.Minute, func() bool { return c.pieces() == 0 })
			if killed < 3 {
				t.Errorf("only %d leaders died", killed)
			}
		})
	}
}

// A piece that can't be read: nothing of the job is started before all that it may
// have named is surely over, and then the job goes on to its end.
func TestUnreadablePiece(t *testing.T) {
	runIn(t, 73, nodeNames, wide(), func(c *testCluster) {
		c.untilUpgraded(20 * time.Second)
		c.submit(array(1, 120), 60)
		c.until("all run", 4*time.Minute, func() bool { return len(c.env.MachinesOf(testJobID(1))) == 120 })
		c.env.Store.Corrupt(records.SegmentKey(testJobID(1), 2))
		c.killLeader()
		c.known(testJobID(1))
		c.untilDone(8*time.Minute, testJobID(1))
	})
}

// A version record that can't be read counts as one of the previous version.
func TestUnreadableVersion(t *testing.T) {
	runUpgrade(t, 74, func(c *testCluster) {
		c.env.Store.Corrupt(records.NodeKey(nodeNames[2]))
		c.restartAs(false, nodeNames[0], nodeNames[1])
		time.Sleep(20 * time.Second)
		if c.upgraded() {
			t.Error("the cluster uses the new format")
		}
		c.untilShown("version 1 of its records", "<td>marble-1</td><td>2</td>", "<td>marble-2</td><td>1</td>")
		c.restartAs(false, nodeNames[2]) // it writes its record anew
		c.untilUpgraded(30 * time.Second)
		c.untilShown("version 2 of its records", "<td>marble-1</td><td>2</td>", "<td>marble-2</td><td>2</td>")
	})
}

// untilShown waits until the status page of every node holds some texts.
func (c *testCluster) untilShown(texts ...string) {
	c.t.Helper()
	for _, name := range c.names {
		c.until(name+" shows "+texts[0], 20*time.Second, func() bool {
			rec := httptest.NewRecorder()
			c.mu.Lock()
			node := c.controllers[name]
			c.mu.Unlock()
			node.api.ServeHTTP(rec, httptest.NewRequest("GET", "/", nil))
			return !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(rec.Body.String(), text) })
		})
	}
}

// Of jobs that were accepted under larger limits, those with long records too can be
// cancelled and are closed.
func TestCancelLargeRecord(t *testing.T) {
	runIn(t, 75, nodeNames, wide(), func(c *testCluster) {
		job := arrayJob(1, strings.Repeat("c", 140), 1)
		for range 20 {
			job.MachineTypes = append(job.MachineTypes, strings.Repeat("t", 140))
		}
		c.env.Register(job)
		c.env.Store.Put(records.OpenKey(job.ID), records.OpenJob{Job: job, AcceptedMS: time.Now().UnixMilli()})
		c.env.Store.Limit(c.deployment.State.Smaller())
		if st := c.env.Submit(job, 5); st != 200 {
			t.Errorf("an accepted job submitted again gets %d", st)
		}
		c.env.Cancel(job.ID)
		c.until("it is closed", time.Minute, func() bool { return c.env.Store.Value(records.FinalKey(job.ID)) != nil })
	})
}
