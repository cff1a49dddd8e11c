package server

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	"marblehaven/internal/config"
	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// testCluster runs real controllers, three unless a test says otherwise, in a simulated
// environment and in synthetic time.
type testCluster struct {
	t           *testing.T
	ctx         context.Context
	network     *fake.Network
	env         *fake.Environment
	log         *slog.Logger
	mu          sync.Mutex
	controllers map[string]*controller
	stops       map[string]func()
	healFuncs   []func()
	jobs        []protocol.JobID
	names       []string // of all controllers, running or not
	deployment  config.Deployment
	// runsPreviousVersion holds, by controller name, whether the controller runs the
	// previous version of the record formats.
	runsPreviousVersion map[string]bool
}

// run runs a scenario with three controllers. The test fails if the environment's checker
// reports a violation of its rules, which hold for every scenario.
func run(t *testing.T, seed uint64, scenario func(c *testCluster)) {
	runWithNodes(t, seed, controllerNames, scenario)
}

// runWithNodes is like run, with controllers of the given names.
func runWithNodes(t *testing.T, seed uint64, names []string, scenario func(c *testCluster)) {
	runInDeployment(t, seed, names, testDeployment(), scenario)
}

// runInDeployment is like runWithNodes, in the given deployment. The scenario and all
// controllers run in one synctest bubble with synthetic time. The network, the fakes and
// the log belong to the bubble, so that scenarios share nothing and may run in parallel.
// With SCENARIO_LOG set, the log goes to standard error; -parallel 1 keeps the lines of a
// scenario together.
func runInDeployment(t *testing.T, seed uint64, names []string, dep config.Deployment, scenario func(c *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &testCluster{t: t, ctx: ctx, network: fake.NewNetwork(seed), controllers: map[string]*controller{}, stops: map[string]func(){}, names: names, deployment: dep, runsPreviousVersion: map[string]bool{}}
		out := io.Discard
		if os.Getenv("SCENARIO_LOG") != "" {
			out = os.Stderr
		}
		c.log = slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug}))
		c.env = fake.NewEnvironment(ctx, c.network, dep, testMachineTypes)
		c.env.Store.SetOnCommit(c.checkRequiredPreconditions)
		for i, name := range names {
			c.env.AddNode(name, fmt.Sprintf("10.0.0.%d:80", i+1))
			c.boot(name)
		}
		time.Sleep(2 * time.Second)
		scenario(c)
		for _, rule := range c.env.Violations() {
			t.Error("rule violated:", rule)
		}
		c.heal()
		for _, stop := range c.stops {
			stop()
		}
		cancel()
		time.Sleep(time.Minute) // calls and messages in flight end
	})
}

// boot starts a controller with empty memory, as a new process does.
func (c *testCluster) boot(name string) {
	i := slices.Index(c.names, name)
	cfg := &config.Config{Node: name, APIAddr: fmt.Sprintf("10.0.0.%d:80", i+1), Deployment: c.deployment, Operator: config.DefaultOperator()}
	cfg.Services.Cloud, cfg.Services.State = "cloud:1", "state:1"
	for _, peerName := range c.names {
		if peerName != name {
			cfg.Peers = append(cfg.Peers, config.Peer{Node: peerName})
		}
	}
	ctx, cancel := context.WithCancel(c.ctx)
	rt := c.network.From(ctx, name)
	node, err := newController(cfg, c.log.With("on", name), transports{store: rt, cloud: rt, agents: rt,
		peer: func(p config.Peer) (grpc.ClientConnInterface, error) { return &peerConn{c, name, p.Node}, nil }})
	if err != nil {
		c.t.Fatal(err)
	}
	if c.runsPreviousVersion[name] {
		node.supportedFormat = records.FormatWhole
	}
	node.start(ctx)
	c.mu.Lock()
	c.controllers[name], c.stops[name] = node, cancel
	c.mu.Unlock()
	c.network.Listen(name, cfg.APIAddr, node.api)
}

// kill ends a controller at once, as a crash does. Messages that it has sent may still
// arrive.
func (c *testCluster) kill(name string) {
	c.network.Listen(name, fmt.Sprintf("10.0.0.%d:80", slices.Index(c.names, name)+1), nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops[name]()
	delete(c.controllers, name)
}

// killLeader kills the leader and returns its name, or "" if no controller leads.
func (c *testCluster) killLeader() string {
	leader := c.leader()
	if leader != "" {
		c.kill(leader)
	}
	return leader
}

// restartAll kills each controller in turn and boots it again at once.
func (c *testCluster) restartAll() {
	for _, name := range c.names {
		c.kill(name)
		c.boot(name)
	}
}

// isRunning reports whether a controller runs.
func (c *testCluster) isRunning(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.controllers[name] != nil
}

// latestTerm returns the highest term that any controller has observed.
func (c *testCluster) latestTerm() (latest protocol.Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, node := range c.controllers {
		record, _ := node.KnownLeader()
		latest = max(latest, record.Term)
	}
	return latest
}

// leader returns the name of a controller that runs a leader, or "" if none does. A
// controller may still run its leader after another controller has won a newer term.
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

// addressOf returns the address at which a controller serves users.
func (c *testCluster) addressOf(name string) string {
	return c.env.NodeAddrs()[slices.Index(c.names, name)]
}

// others returns the names of all controllers except the given one.
func (c *testCluster) others(name string) []string {
	return slices.DeleteFunc(slices.Clone(c.names), func(other string) bool { return other == name })
}

// seedCount returns the number of seeds that a scenario runs with: least, or the value of
// the environment variable CHAOS_SEEDS if that is larger.
func seedCount(least uint64) uint64 {
	if requested, err := strconv.ParseUint(os.Getenv("CHAOS_SEEDS"), 10, 32); err == nil {
		return max(least, requested)
	}
	return least
}
