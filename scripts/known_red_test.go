// Package scripts_test checks the scripts that the continuous integration runs.
package scripts_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestKnownRed checks which tests the script known-red excludes for a KNOWN-RED file, and
// that the script fails for a file that could hide another test.
func TestKnownRed(t *testing.T) {
	const line = "TestKnownRed, a cause, issue 1\n"
	cases := map[string]struct {
		content string
		pattern string
		valid   bool
	}{
		"empty":             {"", "", true},
		"blank":             {"\n\n", "", true},
		"one test":          {line, `^TestKnownRed$`, true},
		"no line end":       {strings.TrimSuffix(line, "\n"), `^TestKnownRed$`, true},
		"subtest":           {"TestKnownRed/a,_b (x), cause, with a comma, 1\n", "", false},
		"subtest as shown":  {"TestKnownRed/a,_b_(x.y), cause, with a comma, 1\n", `^TestKnownRed$/^a,_b_\(x\.y\)$`, true},
		"three tests":       {line + line + line, `^TestKnownRed$|^TestKnownRed$|^TestKnownRed$`, true},
		"four lines":        {line + line + line + line, "", false},
		"no issue":          {"TestKnownRed, a cause\n", "", false},
		"no test":           {"a cause, issue 1, more\n", "", false},
		"pattern":           {"TestKnown.*, a cause, issue 1\n", "", false},
		"test that is gone": {"TestKnownRedOfNothing, a cause, issue 1\n", "", false},
	}
	for name, c := range cases {
		file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
		if err := os.WriteFile(file, []byte(c.content), 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := exec.Command("bash", "known-red", file).Output()
		if (err == nil) != c.valid || string(got) != c.pattern {
			t.Errorf("%s: pattern %q, error %v; expected %q, valid %v", name, got, err, c.pattern, c.valid)
		}
	}
	if got, err := exec.Command("bash", "known-red", "no-such-file").Output(); err != nil || len(got) > 0 {
		t.Errorf("without a file: pattern %q, error %v", got, err)
	}
}
