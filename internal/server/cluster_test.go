package server

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/fake"
	"marblehaven/internal/peer"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// testCluster is three real nodes in a stand-in world, in synthetic time.
type testCluster struct {
	t           *testing.T
	ctx         context.Context
	network     *fake.Network
	env         *fake.Environment
	log         *slog.Logger
	mu          sync.Mutex
	controllers map[string]*controller
	stops       map[string]func()
	mends       []func()
	jobs        []protocol.JobID
	names       []string // of all nodes
	deployment  config.Deployment
	// previous names the nodes that run the previous version of the formats.
	previous map[string]bool
}

var nodeNames = []string{"marble-0", "marble-1", "marble-2"}

var testTypes = []protocol.MachineType{
	{Name: "small", Cores: 4, MemGB: 16, CacheGB: 40, FetchGBps: 1, Price: 0.2, SpotPrice: 0.06, BootS: 20, Zones: []string{"a", "b"}},
	{Name: "big", Cores: 16, MemGB: 64, CacheGB: 40, FetchGBps: 1, Price: 1, SpotPrice: 0.3, BootS: 25, Zones: []string{"a", "b"}},
	{Name: "card", Cores: 16, GPUs: 4, MemGB: 64, CacheGB: 40, FetchGBps: 1, Price: 9, SpotPrice: 3, BootS: 25, Zones: []string{"a", "b"}},
}

func testDeployment() config.Deployment {
	var d config.Deployment
	d.Count, d.Zones = 3, []string{"a", "b"}
	d.Teams = []config.Team{{Name: "red", Cores: 16, CoresMax: 40, GPUs: 4, GPUsMax: 8}, {Name: "blue", Cores: 16, CoresMax: 40}}
	d.Workers = config.Workers{ReportS: 2.5, LeaseS: 12, GangWaitS: 35, GangPeerS: 4, CancelS: 37}
	d.State = config.State{StateLimits: config.StateLimits{RPS: 250, WriteRPS: 50, ValueKB: 32, TxnOps: 20}}
	d.Cloud = config.Cloud{RPS: 4, ListLagS: 10}
	d.Limits = config.Limits{CPUShare: 1, MemoryMB: 1000, Sockets: 1000}
	return d
}

// testLease is the lease of the workers in deployment.
var testLease = time.Duration(testDeployment().Workers.LeaseS * float64(time.Second))

// run plays a scenario with three nodes and judges it by the rules.
func run(t *testing.T, seed uint64, scenario func(c *testCluster)) {
	runWith(t, seed, nodeNames, scenario)
}

func runWith(t *testing.T, seed uint64, names []string, scenario func(c *testCluster)) {
	runIn(t, seed, names, testDeployment(), scenario)
}

func runIn(t *testing.T, seed uint64, names []string, dep config.Deployment, scenario func(c *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &testCluster{t: t, ctx: ctx, network: fake.NewNetwork(seed), controllers: map[string]*controller{}, stops: map[string]func(){}, names: names, deployment: dep, previous: map[string]bool{}}
		out := io.Discard
		if os.Getenv("SCENARIO_LOG") != "" {
			out = os.Stderr
		}
		c.log = slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug}))
		c.env = fake.NewEnvironment(ctx, c.network, dep, testTypes)
		c.env.Store.OnCommit = c.checkGuards
		for i, name := range names {
			c.env.AddNode(name, fmt.Sprintf("10.0.0.%d:80", i+1))
			c.boot(name)
		}
		time.Sleep(2 * time.Second)
		scenario(c)
		for _, rule := range c.env.Violations() {
			t.Error("rule broken:", rule)
		}
		c.mend()
		for _, stop := range c.stops {
			stop()
		}
		cancel()
		time.Sleep(time.Minute) // what is under way comes to its end
	})
}

// checkGuards judges applied commits: a leader's writes are guarded by its term
// and by the records they change, an open job's by its own version; otherwise a
// late copy could undo what came after it.
func (c *testCluster) checkGuards(txn *protocol.Transaction) {
	guarded := map[string]bool{}
	for _, precondition := range txn.Preconditions {
		guarded[precondition.Key] = true
	}
	for _, mutation := range txn.Mutations {
		key := mutation.Set + mutation.Delete
		leaders := isRun(key) || strings.HasPrefix(key, "d/") || strings.HasPrefix(key, "r/") || key == "catalog"
		if (leaders && !guarded["term"]) || (strings.HasPrefix(key, "o/") && !guarded[key]) {
			c.t.Errorf("unguarded change of %s", key)
		}
	}
}

// isRun tells whether a key is of a piece of a run record.
func isRun(key string) bool {
	_, piece := records.ParseOpenKey(key)
	return strings.HasPrefix(key, records.PrefixOpen) && piece != records.NoSegment
}

// isFurtherPiece tells whether a key is of a piece beyond the first, which the previous
// version of the formats does not know.
func isFurtherPiece(key string) bool {
	_, piece := records.ParseOpenKey(key)
	return isRun(key) && piece > 0
}

// boot starts a node, as a new process would.
func (c *testCluster) boot(name string) {
	i := slices.Index(c.names, name)
	cfg := &config.Config{Node: name, APIAddr: fmt.Sprintf("10.0.0.%d:80", i+1), Deployment: c.deployment, Operator: config.DefaultOperator()}
	cfg.Services.Cloud, cfg.Services.State = "cloud:1", "state:1"
	for _, p := range c.names {
		if p != name {
			cfg.Peers = append(cfg.Peers, config.Peer{Node: p})
		}
	}
	ctx, cancel := context.WithCancel(c.ctx)
	rt := c.network.From(ctx, name)
	node, err := newController(cfg, c.log.With("on", name), transports{store: rt, cloud: rt, agents: rt,
		peer: func(p config.Peer) (grpc.ClientConnInterface, error) { return &peerConn{c, name, p.Node}, nil }})
	if err != nil {
		c.t.Fatal(err)
	}
	if c.previous[name] {
		node.format = records.FormatWhole
	}
	node.start(ctx)
	c.mu.Lock()
	c.controllers[name], c.stops[name] = node, cancel
	c.mu.Unlock()
	c.network.Listen(name, cfg.APIAddr, node.api)
}

// kill ends a node without a word; what it has sent may still arrive.
func (c *testCluster) kill(name string) {
	c.network.Listen(name, fmt.Sprintf("10.0.0.%d:80", slices.Index(c.names, name)+1), nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops[name]()
	delete(c.controllers, name)
}

// terms is the highest term that any node knows of.
func (c *testCluster) terms() (n protocol.Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, nd := range c.controllers {
		t, _ := nd.Leader()
		n = max(n, t.Term)
	}
	return n
}

func (c *testCluster) leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, node := range c.controllers {
		if node.LocalLeader() != nil {
			return name
		}
	}
	return ""
}

func (c *testCluster) cut(a, b string, mode fake.Cut) func() {
	mend := sync.OnceFunc(c.network.Cut(a, b, mode))
	c.mends = append(c.mends, mend)
	return mend
}

// isolate cuts a host off from all the others given.
func (c *testCluster) isolate(a string, mode fake.Cut, others ...string) func() {
	var mends []func()
	for _, b := range others {
		mends = append(mends, c.cut(a, b, mode))
	}
	return func() {
		for _, m := range mends {
			m()
		}
	}
}

// leaveWorkers cuts a node off from the state service and all other nodes.
func (c *testCluster) leaveWorkers(name string) func() {
	return c.isolate(name, fake.Hold, append(c.others(name), "state")...)
}

// peerConn carries gRPC calls between the nodes through the stand-in network.
type peerConn struct {
	c        *testCluster
	from, to string
}

func (p *peerConn) Invoke(ctx context.Context, method string, args, reply any, _ ...grpc.CallOption) error {
	raw, err := codec.Marshal(args)
	if err != nil {
		return err
	}
	var out []byte
	err = p.c.network.Call(ctx, p.from, p.to, func() {
		p.c.mu.Lock()
		node := p.c.controllers[p.to]
		p.c.mu.Unlock()
		for _, m := range peer.Service.Methods {
			if node != nil && strings.HasSuffix(method, "/"+m.MethodName) {
				if v, err := m.Handler(node, context.Background(), func(in any) error { return codec.Unmarshal(raw, in) }, nil); err == nil {
					out, _ = codec.Marshal(v)
				}
			}
		}
	})
	if err != nil || out == nil {
		return status.Error(codes.Unavailable, "no answer")
	}
	return codec.Unmarshal(out, reply)
}

func (p *peerConn) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, status.Error(codes.Unimplemented, "no streams")
}

func testJobID(n int) protocol.JobID { return protocol.JobID(fmt.Sprintf("req-%06d", n)) }

func arrayJob(n int, class string, tasks int) protocol.Job {
	return protocol.Job{ID: testJobID(n), Class: class, Team: "red", Kind: protocol.KindArray, Priority: protocol.PriorityStandard, Tasks: tasks,
		Cores: 2, MemGB: 4, Image: "img-1", ImageGB: 1, Spot: true, EstimateS: 20}
}

func serviceJob(n, tasks int) protocol.Job {
	job := arrayJob(n, "front", tasks)
	job.Kind, job.Priority, job.Spread, job.Spot, job.EstimateS, job.Cores = protocol.KindService, protocol.PriorityProduction, true, false, 0, 1
	return job
}

func gangJob(n, tasks int) protocol.Job {
	job := arrayJob(n, "train", tasks)
	job.Kind, job.Priority, job.OneZone, job.GPUs, job.Cores, job.CheckpointIntervalS, job.CheckpointSaveS = protocol.KindGang, protocol.PriorityHigh, true, 2, 4, 10, 2
	return job
}

func (c *testCluster) submit(job protocol.Job, runS float64) {
	c.t.Helper()
	if st := c.env.Submit(job, runS); st != 200 && st != 201 {
		c.t.Fatalf("%s: submission got %d", job.ID, st)
	}
	c.jobs = append(c.jobs, job.ID)
}

// until waits for a condition.
func (c *testCluster) until(what string, limit time.Duration, cond func() bool) {
	c.t.Helper()
	for start := time.Now(); !cond(); time.Sleep(50 * time.Millisecond) {
		if time.Since(start) > limit {
			c.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// untilElsewhere waits until all replicas of a service run, none of them on a machine.
func (c *testCluster) untilElsewhere(jobID protocol.JobID, replicas int, machine string, limit time.Duration) {
	c.t.Helper()
	c.until("the replica runs elsewhere", limit, func() bool {
		on := c.env.MachinesOf(jobID)
		return len(on) == replicas && !slices.Contains(on, machine)
	})
}

// known checks that each accepted job gets an answer within 75 s, however the
// others fare, as the operators' rule says.
func (c *testCluster) known(jobIDs ...protocol.JobID) {
	c.t.Helper()
	var wg sync.WaitGroup
	for _, jobID := range jobIDs {
		wg.Go(func() {
			for start := time.Now(); ; time.Sleep(5 * time.Second) {
				if st, _ := c.env.Poll(jobID); st == 200 {
					return
				}
				if time.Since(start) > 75*time.Second {
					c.t.Errorf("%s is forgotten", jobID)
					return
				}
			}
		})
	}
	wg.Wait()
}

func (c *testCluster) phase(jobID protocol.JobID) protocol.JobPhase {
	_, st := c.env.Poll(jobID)
	return st.Phase
}

func (c *testCluster) untilDone(limit time.Duration, jobIDs ...protocol.JobID) {
	c.t.Helper()
	for _, jobID := range jobIDs {
		c.until(string(jobID)+" is done", limit, func() bool { time.Sleep(time.Second); return c.phase(jobID) == protocol.PhaseDone })
	}
}

// pairs submits services of two replicas each and waits until all run; the result
// lists the machines that they are on.
func (c *testCluster) pairs(n int) func() []string {
	c.t.Helper()
	jobIDs := make([]protocol.JobID, n)
	for i := range jobIDs {
		job := serviceJob(1+i, 2)
		jobIDs[i] = job.ID
		c.submit(job, 0)
	}
	on := func() (all []string) {
		for _, jobID := range jobIDs {
			all = append(all, c.env.MachinesOf(jobID)...)
		}
		return all
	}
	c.until("all run", 2*time.Minute, func() bool { return len(on()) == 2*n })
	return on
}

// restartAll ends every controller; each is back at once.
func (c *testCluster) restartAll() {
	for _, n := range c.names {
		c.kill(n)
		c.boot(n)
	}
}

// seeds is how many seeds a scenario is played with, or more when asked for by
// CHAOS_SEEDS.
func seeds(least uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv("CHAOS_SEEDS"), 10, 32); err == nil {
		return max(least, n)
	}
	return least
}
