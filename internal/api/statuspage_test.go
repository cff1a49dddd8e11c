package api

import (
	"bytes"
	"strings"
	"testing"

	"marblehaven/internal/leader"
)

// The status page counts and lists the tasks that no record names, and has no heading for
// them where there are none.
func TestPageNamesUnknownTasks(t *testing.T) {
	render := func(status leader.Status) string {
		var out bytes.Buffer
		if err := pageTemplate.Execute(&out, statusPage{Name: "marble-0", HasSummary: true, Summary: status}); err != nil {
			t.Fatal(err)
		}
		return out.String()
	}
	const heading = "tasks on machines that no record names"
	page := render(leader.Status{UnknownTasks: 30, Unknown: []leader.UnknownTask{
		{Task: "req-000001/7", Attempt: 3, State: "running", Machine: "m-000042", Job: "not open"}}})
	for _, text := range []string{"30 " + heading, "req-000001/7", "m-000042", "not open"} {
		if !strings.Contains(page, text) {
			t.Errorf("the page does not show %q", text)
		}
	}
	if strings.Contains(render(leader.Status{}), heading) {
		t.Error("the page shows unknown tasks where there are none")
	}
}
