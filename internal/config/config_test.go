package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"marblehaven/internal/tuning"
)

const validSettings = `{"node":"n-0","domain":"a","api_addr":"10.0.0.1:80","peer_bind":"10.0.0.1:81","unheard_of":1,
"peers":[{"node":"n-1","domain":"a","address":"10.0.0.2:81"}],"services":{"cloud":"10.2.0.2:1","state":"10.2.0.1:2"},
"deployment":{"count":2,"zones":["a"],"teams":[{"name":"t","cpus":1}],
"workers":{"report_s":3,"lease_s":12,"gang_wait_s":35,"gang_peer_s":4,"cancel_s":37},
"state":{"rps":250,"write_rps":25,"value_kb":32,"txn_ops":20},"cloud":{"rps":4,"list_lag_s":10},
"limits":{"cpu_share":0.1,"memory_mb":180,"sockets":1800},"clock_error_ms":25}}`

// writeFile creates a file in the directory and returns its path.
func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoad(t *testing.T) {
	dir := t.TempDir() // not a subtest's, whose path could contain a name that errors must contain
	c, err := Load(writeFile(t, dir, "good.json", validSettings), writeFile(t, dir, "op.toml", "rho = 1.5\nestimator = \"user\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	if c.Operator.Rho != 1.5 || c.Operator.IdleTimeoutBootFactor != DefaultOperator().IdleTimeoutBootFactor || c.Team("t") == nil {
		t.Errorf("settings were read as %+v", c)
	}
	// Settings with which the service cannot work are refused with an error of one line that
	// names the file or the field.
	replaced := func(old, replacement string) string { return strings.Replace(validSettings, old, replacement, 1) }
	for _, test := range []struct {
		name     string
		json     string
		operator string // the operators' file; empty: none
		wantName string // the file or field that the error must contain
	}{
		{"platform file is not JSON", "{", "", "bad.json"},
		{"lease is not a number", replaced(`"lease_s":12`, `"lease_s":"x"`), "", "lease_s"},
		{"lease is longer than the cancellation limit", replaced(`"lease_s":12`, `"lease_s":40`), "", "cancel_s"},
		{"cancellation limit leaves the leader no time", replaced(`"cancel_s":37`, `"cancel_s":17.5`), "", "cancel_s"},
		{"heartbeat interval is missing", replaced(`"report_s":3,`, ``), "", "report_s"},
		{"heartbeat interval is as long as the lease", replaced(`"report_s":3,`, `"report_s":9.6,`), "", "lease_s"},
		{"address has no port", replaced(`10.0.0.1:80`, `nowhere`), "", "api_addr"},
		{"peer has the name of this node", replaced(`"n-1"`, `"n-0"`), "", "peers[0].node"},
		{"guaranteed quota is negative", replaced(`"cpus":1`, `"cpus":-1`), "", "teams[0]"},
		{"too few sockets", replaced(`"sockets":1800`, `"sockets":60`), "", "limits.sockets"},
		{"too little memory", replaced(`"memory_mb":180`, `"memory_mb":8`), "", "limits.memory_mb"},
		{"announced transactions are too short", replaced(`"txn_ops":20`, `"txn_ops":20,"next":{"txn_ops":3}`), "", "state.next.txn_ops"},
		{"announced value limit is 0", replaced(`"txn_ops":20`, `"txn_ops":20,"next":{"value_kb":0}`), "", "state.next.value_kb"},
		{"announced write rate is negative", replaced(`"txn_ops":20`, `"txn_ops":20,"next":{"write_rps":-4}`), "", "state.next.write_rps"},
		{"announced request rate is 0", replaced(`"txn_ops":20`, `"txn_ops":20,"next":{"rps":0}`), "", "state.next.rps"},
		{"announced request rate is not a number", replaced(`"txn_ops":20`, `"txn_ops":20,"next":{"rps":"x"}`), "", "state.next.rps"},
		{"value limit is too low for a record", replaced(`"value_kb":32`, `"value_kb":1.5`), "", "state.value_kb"},
		{"operator factor is negative", validSettings, "rho = -1", "rho"},
		{"operator estimator is unknown", validSettings, "estimator = \"guess\"", "estimator"},
		{"operator share is above 1", validSettings, "cloud_call_share = 2.0", "cloud_call_share"},
		{"operator field is unknown", validSettings, "unheard_of = 1", "unheard_of"},
		{"operator file is not TOML", validSettings, "rho = ", "bad.toml"},
	} {
		t.Run(test.name, func(t *testing.T) {
			operatorPath := ""
			if test.operator != "" {
				operatorPath = writeFile(t, dir, "bad.toml", test.operator)
			}
			_, err := Load(writeFile(t, dir, "bad.json", test.json), operatorPath)
			if err == nil || !strings.Contains(err.Error(), test.wantName) || strings.Contains(strings.TrimSpace(err.Error()), "\n") {
				t.Errorf("want an error of one line that names %s, got %v", test.wantName, err)
			}
		})
	}
}

// TestSmallerLimits checks that an announced limit is used only if it is smaller than the
// present one, and that the present limits are used if none are announced.
func TestSmallerLimits(t *testing.T) {
	present := StateLimits{RPS: 250, WriteRPS: 25, ValueKB: 32, TxnOps: 20}
	if got := (State{StateLimits: present}).StricterLimits(); got != present {
		t.Errorf("without announced limits: got %+v, want the present limits", got)
	}
	rps, value, ops := 400.0, 2.0, 6
	got := State{StateLimits: present, Next: NextLimits{RPS: &rps, ValueKB: &value, TxnOps: &ops}}.StricterLimits()
	if want := (StateLimits{RPS: 250, WriteRPS: 25, ValueKB: 2, TxnOps: 6}); got != want {
		t.Errorf("got limits %+v, want %+v", got, want)
	}
}

// TestSockets checks that the sockets of all uses never add up to more than the limit, and
// that connections of users and agents get at least half of a limit of 1,000 or more.
func TestSockets(t *testing.T) {
	for _, n := range []int{200, 1000, 1800, 3000, 4000, 20000} {
		for _, peers := range []int{2, 4, 6, 10} {
			d := Deployment{Limits: Limits{Sockets: n}}
			s := d.Sockets(peers)
			if sum := s.Incoming + s.Commands + s.Users + 2*peers + tuning.SocketsReserved; sum > n || s.Users < 1 || s.Commands < 1 {
				t.Errorf("%d sockets, %d peers: %+v exceed the limit or leave no socket for users or commands", n, peers, s)
			}
			if n >= 1000 && s.Incoming < n/2 {
				t.Errorf("%d sockets, %d peers: %d for users and agents, want at least half", n, peers, s.Incoming)
			}
		}
	}
}

// TestSocketsForFourThousandMachines checks that 5,000 sockets allow each of 4,000 agents to
// hold a connection to the leader. It guards against this fault: commands took a fifth of
// the remaining sockets, so that agents' connections were closed to make room for others.
func TestSocketsForFourThousandMachines(t *testing.T) {
	d := Deployment{Limits: Limits{Sockets: 5000}}
	if s := d.Sockets(2); s.Incoming < 4000 {
		t.Errorf("%d connections for users and agents, want at least 4000", s.Incoming)
	}
}
