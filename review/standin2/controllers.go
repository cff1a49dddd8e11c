//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
)

// controller is one process of the program under review, started with the command of the
// deploy file.
type controller struct {
	name    string
	zone    string
	api     string // address for users and workers
	peer    string // address for the other controllers
	state   string // address under which this controller reaches the state service
	cloud   string // address under which this controller reaches the cloud
	config  string // path of its settings file
	process *exec.Cmd
}

// deployCommand reads the command with which the deploy file starts a controller.
func deployCommand() ([]string, error) {
	content, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(content)) {
		if value, found := strings.CutPrefix(line, "run = "); found {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/service.toml has no line run")
}

// settings returns the settings file of a controller in the form of the operators' page.
func (w *world) settings(c *controller) map[string]any {
	peers := []map[string]any{}
	for _, other := range w.controllers {
		if other != c {
			peers = append(peers, map[string]any{"node": other.name, "domain": other.zone, "address": other.peer})
		}
	}
	return map[string]any{
		"node": c.name, "domain": c.zone, "api_addr": c.api, "peer_bind": c.peer, "peers": peers,
		"services": map[string]any{"cloud": c.cloud, "state": c.state},
		"deployment": map[string]any{
			"count": len(w.controllers), "zones": w.site.zones, "teams": w.site.teams, "objectives": []any{},
			"workers": map[string]any{"report_s": w.site.reportS, "lease_s": w.site.leaseS, "gang_wait_s": 35.0,
				"gang_peer_s": 4.0, "cancel_s": w.site.cancelS},
			"state":          map[string]any{"rps": 250.0, "write_rps": 25.0, "value_kb": 32.0, "txn_ops": 20},
			"cloud":          map[string]any{"rps": 4.0, "list_lag_s": 10.0},
			"limits":         map[string]any{"cpu_share": 0.096, "memory_mb": 179.0, "sockets": 1800},
			"clock_error_ms": 25.0,
		},
	}
}

// startController writes the settings of a controller and starts its process.
func (w *world) startController(c *controller) error {
	if c.config == "" {
		content, err := json.Marshal(w.settings(c))
		if err != nil {
			return err
		}
		c.config = filepath.Join(w.folder, c.name+".json")
		if err := os.WriteFile(c.config, content, 0o600); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(w.folder, c.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c.process = exec.Command(w.command[0], append(w.command[1:len(w.command):len(w.command)], c.config)...)
	c.process.Stderr = log
	w.record.add("start controller %s", c.name)
	return c.process.Start()
}

// kill ends a controller's process and waits for its end.
func (w *world) kill(c *controller) {
	if c.process == nil {
		return
	}
	_ = c.process.Process.Signal(syscall.SIGCONT)
	_ = c.process.Process.Kill()
	_ = c.process.Wait()
	w.record.add("controller %s ended", c.name)
	c.process = nil
}

// up reports whether a controller answers its health check with 200.
func (w *world) up(c *controller) bool {
	return call(w.client, http.MethodGet, "http://"+c.api+"/up", nil, nil, probeTimeout) == http.StatusOK
}
