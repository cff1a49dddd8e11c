package server

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
)

func TestNormalOperation(t *testing.T) {
	t.Parallel()
	run(t, 1, func(c *testCluster) {
		c.submit(serviceJob(1, 2), 0)
		c.submit(arrayJob(2, "check", 30), 15)
		c.submit(gangJob(3, 3), 30)
		c.submit(arrayJob(4, "check", 1), 5)
		c.untilDone(6*time.Minute, c.jobs[1:]...)
		c.until("both replicas run", time.Minute, func() bool { return len(c.env.MachinesOf("req-000001")) == 2 })
		if status, jobStatus := c.env.Cancel("req-000002"); status != 200 || jobStatus.Phase != protocol.PhaseDone {
			t.Errorf("cancellation of a finished job: status %d and phase %q, want 200 and done", status, jobStatus.Phase)
		}
		if status := c.env.Submit(arrayJob(2, "check", 30), 15); status != 200 {
			t.Errorf("repeated submission of a finished job: status %d, want 200", status)
		}
		if status, _ := c.env.QueryStatus("req-999999"); status != 404 {
			t.Errorf("status request for an unknown job: status %d, want 404", status)
		}
		c.env.Cancel("req-000001")
		c.until("idle machines are deprovisioned and open records are deleted", 4*time.Minute, func() bool {
			return len(c.env.Machines()) == 0 && len(c.env.Store.Keys("o/")) == 0
		})
		if n := len(c.env.Store.Keys("d/")); n != 4 {
			t.Errorf("%d final records, want 4", n)
		}
	})
}

// TestUserAPI checks the HTTP status that valid and invalid requests get. It also checks
// that the status page of every controller shows the leader and the player-facing work that
// is behind.
func TestUserAPI(t *testing.T) {
	t.Parallel()
	run(t, 97, func(c *testCluster) {
		body := func(change func(m map[string]any)) []byte {
			job := arrayJob(1, "check", 2)
			m := fake.JobMap(&job)
			change(m)
			b, _ := codec.Marshal(m)
			return b
		}
		many := make([]string, 3000)
		for i := range many {
			many[i] = fmt.Sprint("type-", i)
		}
		for _, tc := range []struct {
			what, method, path string
			body               []byte
			want               int
		}{
			{"malformed", "POST", "/v1/jobs", []byte("x"), 400},
			{"too large", "POST", "/v1/jobs", make([]byte, 70000), 413},
			{"unknown team", "POST", "/v1/jobs", body(func(m map[string]any) { m["owner"] = "nobody" }), 422},
			{"unknown type", "POST", "/v1/jobs", body(func(m map[string]any) { m["flavors"] = []string{"huge"} }), 422},
			{"unknown zone", "POST", "/v1/jobs", body(func(m map[string]any) { m["quarry"] = "z" }), 422},
			{"fits no type", "POST", "/v1/jobs", body(func(m map[string]any) { m["cores"], m["memGb"] = 10, 100 }), 422},
			{"an array of one limit", "POST", "/v1/jobs", body(func(m map[string]any) { m["ref"], m["pieces"] = "req-000002", 100000 }), 201},
			{"a gang over the limit", "POST", "/v1/jobs", body(func(m map[string]any) { m["shape"], m["pieces"] = "group", 21 }), 422},
			{"many types", "POST", "/v1/jobs", body(func(m map[string]any) { m["ref"], m["flavors"] = "req-000003", append(many, "small") }), 201},
			{"again", "POST", "/v1/jobs", body(func(m map[string]any) { m["ref"] = "req-000003" }), 200},
			{"unknown job", "GET", "/v1/jobs/req-000009", nil, 404},
			{"malformed ref", "GET", "/v1/jobs/x", nil, 404},
			{"cancellation of an unknown job", "POST", "/v1/jobs/req-000009/withdraw", nil, 404},
			{"wrong method", "PUT", "/v1/jobs", nil, 405},
			{"wrong method", "DELETE", "/v1/jobs/req-000002", nil, 405},
			{"no such path", "GET", "/v2", nil, 404},
			{"malformed report", "POST", "/hello", []byte("x"), 400},
			{"health", "GET", "/up", nil, 200},
		} {
			request := httptest.NewRequest(tc.method, tc.path, bytes.NewReader(tc.body))
			response := httptest.NewRecorder()
			c.controllers[controllerNames[0]].api.ServeHTTP(response, request)
			if response.Code != tc.want {
				t.Errorf("%s: status %d, want %d", tc.what, response.Code, tc.want)
			}
		}
		c.env.SetCloudDown(true)
		c.submit(serviceJob(5, 1), 0)
		time.Sleep(10 * time.Second)
		for _, node := range c.controllers {
			response := httptest.NewRecorder()
			node.api.ServeHTTP(response, httptest.NewRequest("GET", "/", nil))
			if page := response.Body.String(); !strings.Contains(page, "work is behind") || !strings.Contains(page, "req-000005") || !strings.Contains(page, c.leader()+" leads") {
				t.Errorf("the status page of %s lacks req-000005, the warning that work is behind, or the leader: %s", node.cfg.Node, page)
			}
		}
		c.env.SetCloudDown(false)
	})
}

// TestLargeArray runs an array of thousands of tasks, hundreds at a time, and kills the
// leader meanwhile. The array's records and commits must stay within the key-value store's
// limits, and all tasks must get done.
func TestLargeArray(t *testing.T) {
	t.Parallel()
	run(t, 96, func(c *testCluster) {
		job := arrayJob(1, "many", 3000)
		job.Cores, job.MemGB, job.EstimateS = 0.05, 0.1, 5
		c.submit(job, 4)
		c.until("more than 200 tasks run and more than 300 are done", 2*time.Minute, func() bool {
			_, jobStatus := c.env.QueryStatus(job.ID)
			return jobStatus.Running > 200 && jobStatus.Done > 300
		})
		c.kill(c.leader())
		c.untilDone(10*time.Minute, job.ID)
	})
}
