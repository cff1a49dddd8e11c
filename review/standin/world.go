//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"marblehaven/internal/config"
	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
)

// nodeCount is the number of controllers, as in the small deployments.
const nodeCount = 3

// settings holds what a case chooses of the deployment.
type settings struct {
	zones   []string
	teams   []config.Team
	workers config.Workers
	state   config.StateLimits
	types   []protocol.MachineType
	// capacity limits how many machines the cloud rents in a zone at a time.
	capacity map[string]int
	// bootS returns the boot time in seconds of the machine that is rented as number n,
	// counted from 0.
	bootS func(n int) float64
}

// node is a controller with the links to it. Its peers reach it through proxies, one for
// each peer.
type node struct {
	name, zone         string
	apiAddr, peerAddr  string
	stateAddr          string // the state service, as this controller reaches it
	cloudAddr          string
	peerProxies        []*refuser // towards the other controllers
	state              link       // to the state service
	process            *exec.Cmd
	exited             chan struct{} // closed when the process has ended
	configPath, logEnd string
	logPath            string
}

// world is everything outside the controllers, and the processes of the controllers.
type world struct {
	rec     *recorder
	trouble bool
	root    string
	folder  string
	run     []string // program and arguments of a controller, without the settings file
	ctx     context.Context
	end     context.CancelFunc

	set   settings
	nodes []*node
	store *fake.Store
	cloud *cloud

	mu      sync.Mutex // guards the rest
	jobs    map[protocol.JobID]*job
	workers map[string]*worker // by machine name; machines that are gone are removed
	highest map[*node]uint64   // the highest token that any worker accepted from each controller
}

// newWorld reads the deploy file and prepares a temporary folder and the record.
func newWorld(root, recordPath string, trouble bool) (*world, error) {
	var deploy struct{ Run string }
	if _, err := toml.DecodeFile(filepath.Join(root, "deploy", "service.toml"), &deploy); err != nil {
		return nil, err
	}
	run := strings.Fields(deploy.Run)
	if len(run) == 0 {
		return nil, fmt.Errorf("the deploy file names no program")
	}
	if _, err := os.Stat(filepath.Join(root, run[0])); err != nil {
		return nil, fmt.Errorf("the program is not built: %w", err)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	rec, err := newRecorder(recordPath)
	if err != nil {
		return nil, err
	}
	ctx, end := context.WithCancel(context.Background())
	return &world{rec: rec, trouble: trouble, root: root, folder: folder, run: run, ctx: ctx, end: end,
		jobs: map[protocol.JobID]*job{}, workers: map[string]*worker{}, highest: map[*node]uint64{}}, nil
}

// start serves the state service and the cloud, writes the settings files and starts all
// controllers.
func (w *world) start(set settings) error {
	w.set = set
	w.store = fake.NewStore()
	w.store.LowerLimits(set.state) // beyond the limits: 400 and 429
	w.store.LimitRequests(set.state.RPS)
	w.cloud = newCloud(w)
	for i := range nodeCount {
		n := &node{name: fmt.Sprintf("marble-%d", i), zone: set.zones[i%len(set.zones)]}
		var err error
		if n.apiAddr, err = freeAddress(); err != nil {
			return err
		}
		if n.peerAddr, err = freeAddress(); err != nil {
			return err
		}
		if n.stateAddr, err = w.serve(w.stateFor(n)); err != nil {
			return err
		}
		if n.cloudAddr, err = w.serve(w.cloud.handlerFor(n)); err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		if err := w.writeSettings(n); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := w.startNode(n); err != nil {
			return err
		}
	}
	return nil
}

// freeAddress returns a loopback address whose port is free.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// serve serves a handler on a free loopback port until the run ends, and returns the address.
func (w *world) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	go func() {
		<-w.ctx.Done()
		server.Close()
	}()
	return listener.Addr().String(), nil
}

// stateLatency and cloudLatency are the usual times until the services answer, from the
// site files.
const (
	stateLatency = 3 * time.Millisecond
	cloudLatency = 80 * time.Millisecond
)

// stateFor is the state service as one controller reaches it.
func (w *world) stateFor(n *node) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if !n.state.pass(r.Context()) {
			panic(http.ErrAbortHandler) // no answer
		}
		time.Sleep(stateLatency)
		r.RemoteAddr = n.name // the store's stand-in knows its callers by name
		w.store.ServeHTTP(rw, r)
	})
}

// writeSettings writes the settings file of a controller, in the form of the deploy page.
func (w *world) writeSettings(n *node) error {
	var peers []map[string]any
	for _, other := range w.nodes {
		if other == n {
			continue
		}
		proxy, err := newRefuser(other.peerAddr)
		if err != nil {
			return err
		}
		n.peerProxies = append(n.peerProxies, proxy)
		peers = append(peers, map[string]any{"node": other.name, "domain": other.zone, "address": proxy.address})
	}
	set := w.set
	fields := map[string]any{
		"node": n.name, "domain": n.zone, "api_addr": n.apiAddr, "peer_bind": n.peerAddr, "peers": peers,
		"services": map[string]any{"cloud": n.cloudAddr, "state": n.stateAddr},
		"deployment": map[string]any{
			"count": nodeCount, "zones": set.zones, "teams": set.teams, "objectives": []any{}, "workers": set.workers,
			"state":          set.state,
			"cloud":          map[string]any{"rps": cloudRPS, "list_lag_s": listLagS},
			"limits":         map[string]any{"cpu_share": 0.36, "memory_mb": 342.0, "sockets": 3500},
			"clock_error_ms": 100.0,
		},
	}
	encoded, err := json.MarshalIndent(fields, "", "  ")
	if err != nil {
		return err
	}
	n.configPath = filepath.Join(w.folder, n.name+".json")
	n.logPath = filepath.Join(w.folder, n.name+".log")
	return os.WriteFile(n.configPath, encoded, 0o600)
}

// startNode starts the process of a controller. It ends with this program.
func (w *world) startNode(n *node) error {
	logFile, err := os.OpenFile(n.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	args := append(append([]string{}, w.run[1:]...), n.configPath)
	process := exec.Command(filepath.Join(w.root, w.run[0]), args...)
	process.Env = append(os.Environ(), "LOG_LEVEL=info")
	process.Stderr = logFile
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	n.process, n.exited = process, make(chan struct{})
	w.rec.add(n.name, "process started")
	go func(exited chan struct{}) {
		process.Wait()
		close(exited)
	}(n.exited)
	return nil
}

// kill ends the process of a controller without a warning.
func (w *world) kill(n *node) {
	n.process.Process.Kill()
	<-n.exited
	w.rec.add(n.name, "process killed")
}

// close ends all processes and removes the temporary folder. The controllers' lines at
// level error, and those about terms, are added to the record first.
func (w *world) close() {
	for _, n := range w.nodes {
		if n.process != nil {
			n.process.Process.Kill()
			<-n.exited
		}
	}
	w.end()
	for _, n := range w.nodes {
		w.addLog(n)
	}
	w.rec.close()
	os.RemoveAll(w.folder)
}

// logLinesMax is the largest number of lines of a controller's log that are recorded.
const logLinesMax = 60

func (w *world) addLog(n *node) {
	content, err := os.ReadFile(n.logPath)
	if err != nil {
		return
	}
	lines := 0
	for line := range strings.SplitSeq(string(content), "\n") {
		if lines < logLinesMax && (strings.Contains(line, "level=ERROR") || strings.Contains(line, "leading") || strings.Contains(line, "deprovisioning")) {
			lines++
			w.rec.add("log "+n.name, "%s", line[:min(len(line), 400)])
		}
	}
}

// awaitLeader waits until one of the controllers leads, and returns it.
func (w *world) awaitLeader(limit time.Duration) *node {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if n := w.leader(); n != nil {
			return n
		}
	}
	return nil
}

// leader returns the controller that the leader key in the state service names, or nil.
func (w *world) leader() *node {
	value := string(w.store.Value("leader"))
	for _, n := range w.nodes {
		if strings.Contains(value, n.name) {
			return n
		}
	}
	return nil
}
