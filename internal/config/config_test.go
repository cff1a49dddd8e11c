package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"marblehaven/internal/tuning"
)

const good = `{"node":"n-0","domain":"a","api_addr":"10.0.0.1:80","peer_bind":"10.0.0.1:81","unheard_of":1,
"peers":[{"node":"n-1","domain":"a","address":"10.0.0.2:81"}],"services":{"cloud":"10.2.0.2:1","state":"10.2.0.1:2"},
"deployment":{"count":2,"zones":["a"],"teams":[{"name":"t","cpus":1}],
"workers":{"report_s":3,"lease_s":12,"gang_wait_s":35,"gang_peer_s":4,"cancel_s":37},
"state":{"rps":250,"write_rps":25,"value_kb":32,"txn_ops":20},"cloud":{"rps":4,"list_lag_s":10},
"limits":{"cpu_share":0.1,"memory_mb":180,"sockets":1800},"clock_error_ms":25}}`

func TestLoad(t *testing.T) {
	dir := t.TempDir()
	writeFile := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	c, err := Load(writeFile("good.json", good), writeFile("op.toml", "rho = 1.5\nestimator = \"user\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	if c.Operator.Rho != 1.5 || c.Operator.GiveBackFactor != DefaultOperator().GiveBackFactor || c.Team("t") == nil {
		t.Errorf("read as %+v", c)
	}
	tests := []struct{ json, operator, wantName string }{
		{"{", "", "bad.json"},
		{strings.Replace(good, `"lease_s":12`, `"lease_s":"x"`, 1), "", "lease_s"},
		{strings.Replace(good, `"lease_s":12`, `"lease_s":40`, 1), "", "cancel_s"},
		{strings.Replace(good, `"cancel_s":37`, `"cancel_s":17.5`, 1), "", "cancel_s"},
		{strings.Replace(good, `"report_s":3,`, ``, 1), "", "report_s"},
		{strings.Replace(good, `"report_s":3,`, `"report_s":9.6,`, 1), "", "lease_s"},
		{strings.Replace(good, `10.0.0.1:80`, `nowhere`, 1), "", "api_addr"},
		{strings.Replace(good, `"n-1"`, `"n-0"`, 1), "", "peers[0].node"},
		{strings.Replace(good, `"cpus":1`, `"cpus":-1`, 1), "", "teams[0]"},
		{strings.Replace(good, `"sockets":1800`, `"sockets":60`, 1), "", "limits.sockets"},
		{strings.Replace(good, `"memory_mb":180`, `"memory_mb":8`, 1), "", "limits.memory_mb"},
		{strings.Replace(good, `"txn_ops":20`, `"txn_ops":20,"next":{"txn_ops":3}`, 1), "", "state.next.txn_ops"},
		{strings.Replace(good, `"txn_ops":20`, `"txn_ops":20,"next":{"value_kb":0}`, 1), "", "state.next.value_kb"},
		{strings.Replace(good, `"txn_ops":20`, `"txn_ops":20,"next":{"write_rps":-4}`, 1), "", "state.next.write_rps"},
		{strings.Replace(good, `"txn_ops":20`, `"txn_ops":20,"next":{"rps":0}`, 1), "", "state.next.rps"},
		{strings.Replace(good, `"txn_ops":20`, `"txn_ops":20,"next":{"rps":"x"}`, 1), "", "state.next.rps"},
		{strings.Replace(good, `"value_kb":32`, `"value_kb":1.5`, 1), "", "state.value_kb"},
		{good, "rho = -1", "rho"},
		{good, "estimator = \"guess\"", "estimator"},
		{good, "cloud_call_share = 2.0", "cloud_call_share"},
		{good, "unheard_of = 1", "unheard_of"},
		{good, "rho = ", "bad.toml"},
	}
	for _, test := range tests {
		operatorPath := ""
		if test.operator != "" {
			operatorPath = writeFile("bad.toml", test.operator)
		}
		_, err := Load(writeFile("bad.json", test.json), operatorPath)
		if err == nil || !strings.Contains(err.Error(), test.wantName) || strings.Contains(strings.TrimSpace(err.Error()), "\n") {
			t.Errorf("expected one line naming %s, got %v", test.wantName, err)
		}
	}
}

// Announced limits count only where they are smaller; without any, today's stand.
func TestSmallerLimits(t *testing.T) {
	present := StateLimits{RPS: 250, WriteRPS: 25, ValueKB: 32, TxnOps: 20}
	if got := (State{StateLimits: present}).Smaller(); got != present {
		t.Errorf("without announced limits %+v", got)
	}
	rps, value, ops := 400.0, 2.0, 6
	got := State{StateLimits: present, Next: NextLimits{RPS: &rps, ValueKB: &value, TxnOps: &ops}}.Smaller()
	if want := (StateLimits{RPS: 250, WriteRPS: 25, ValueKB: 2, TxnOps: 6}); got != want {
		t.Errorf("smaller limits %+v instead of %+v", got, want)
	}
}

// The parts of the sockets never make up more than there are, and what serves
// users and workers gets the most of them.
func TestSockets(t *testing.T) {
	for _, n := range []int{200, 1000, 1800, 3000, 4000, 20000} {
		for _, peers := range []int{2, 4, 6, 10} {
			d := Deployment{Limits: Limits{Sockets: n}}
			s := d.Sockets(peers)
			if sum := s.Incoming + s.Commands + s.Users + 2*peers + tuning.SocketsOwn; sum > n || s.Users < 1 || s.Commands < 1 {
				t.Errorf("%d sockets, %d peers: %+v", n, peers, s)
			}
			if n >= 1000 && s.Incoming < n/2 {
				t.Errorf("%d sockets, %d peers: only %d for users and workers", n, peers, s.Incoming)
			}
		}
	}
}

// Each of 4,000 workers may hold a connection to the leader where there are 5,000
// sockets. Commands once took a fifth of what was left, so that workers' connections
// were closed in turn.
func TestSocketsForFourThousandMachines(t *testing.T) {
	d := Deployment{Limits: Limits{Sockets: 5000}}
	if s := d.Sockets(2); s.Incoming < 4000 {
		t.Errorf("only %d connections for users and workers", s.Incoming)
	}
}
