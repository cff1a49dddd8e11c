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

// testCluster is three real controllers in a simulated environment, in synthetic time.
type testCluster struct {
	t           *testing.T
	ctx         context.Context
	network     *fake.Network
	env         *fake.Environment
	log         *slog.Logger
	mu          sync.Mutex
	controllers map[string]*controller
	stops       map[string]func()
	heals       []func()
	jobs        []protocol.JobID
	names       []string // of all controllers
	deployment  config.Deployment
	// previous names the controllers that run the previous version of the formats.
	previous map[string]bool
}

// run plays a scenario with three controllers; the fakes judge it by the rules that hold
// for every scenario.
func run(t *testing.T, seed uint64, scenario func(c *testCluster)) {
	runWithNodes(t, seed, controllerNames, scenario)
}

// runWithNodes is run with controllers of the given names.
func runWithNodes(t *testing.T, seed uint64, names []string, scenario func(c *testCluster)) {
	runIn(t, seed, names, testDeployment(), scenario)
}

// runIn is runWith in a deployment of the scenario's own. Time is synthetic: the scenario
// and all controllers run in one synctest bubble, which owns the network, the fakes and
// the log, so that scenarios share nothing and may run in parallel. SCENARIO_LOG writes
// the log to standard error; -parallel 1 keeps the lines of a scenario together.
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
		c.env.Store.SetOnCommit(c.checkPreconditions)
		for i, name := range names {
			c.env.AddNode(name, fmt.Sprintf("10.0.0.%d:80", i+1))
			c.boot(name)
		}
		time.Sleep(2 * time.Second)
		scenario(c)
		for _, rule := range c.env.Violations() {
			t.Error("rule broken:", rule)
		}
		c.heal()
		for _, stop := range c.stops {
			stop()
		}
		cancel()
		time.Sleep(time.Minute) // what is under way comes to its end
	})
}

// boot starts a controller, as a new process would.
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
	if c.previous[name] {
		node.supportedFormat = records.FormatWhole
	}
	node.start(ctx)
	c.mu.Lock()
	c.controllers[name], c.stops[name] = node, cancel
	c.mu.Unlock()
	c.network.Listen(name, cfg.APIAddr, node.api)
}

// kill ends a controller at once, as a crash does; what it has sent may still arrive.
func (c *testCluster) kill(name string) {
	c.network.Listen(name, fmt.Sprintf("10.0.0.%d:80", slices.Index(c.names, name)+1), nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops[name]()
	delete(c.controllers, name)
}

// killLeader ends the leader, if there is one, and returns its name.
func (c *testCluster) killLeader() string {
	leader := c.leader()
	if leader != "" {
		c.kill(leader)
	}
	return leader
}

// restartAll ends every controller; each is back at once.
func (c *testCluster) restartAll() {
	for _, name := range c.names {
		c.kill(name)
		c.boot(name)
	}
}

// isRunning tells whether a controller runs.
func (c *testCluster) isRunning(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.controllers[name] != nil
}

// latestTerm returns the highest term that any controller knows of.
func (c *testCluster) latestTerm() (latest protocol.Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, node := range c.controllers {
		record, _ := node.Leader()
		latest = max(latest, record.Term)
	}
	return latest
}

// leader returns a controller that takes itself for the leader, empty if none does.
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

// others returns all controllers but one.
func (c *testCluster) others(name string) []string {
	return slices.DeleteFunc(slices.Clone(c.names), func(other string) bool { return other == name })
}

// seedCount returns how many seeds a scenario is played with: least, or more if the
// environment variable CHAOS_SEEDS says so.
func seedCount(least uint64) uint64 {
	if requested, err := strconv.ParseUint(os.Getenv("CHAOS_SEEDS"), 10, 32); err == nil {
		return max(least, requested)
	}
	return least
}
