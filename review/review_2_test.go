//go:build review2

// Package review runs the cases of the second review as tests, each by its script.
package review

import (
	"os/exec"
	"testing"
)

// runSecondCase runs the script of a case and fails if the rule was broken.
func runSecondCase(t *testing.T, folder string) {
	t.Helper()
	output, err := exec.Command("bash", folder+"/run.sh").CombinedOutput()
	if err != nil {
		t.Fatalf("case %s: %v\n%s", folder, err, output)
	}
}

func TestSecondReviewLateCopy(t *testing.T) { runSecondCase(t, "4") }

func TestSecondReviewRestarted(t *testing.T) { runSecondCase(t, "5") }

func TestSecondReviewLeftWaiting(t *testing.T) { runSecondCase(t, "6") }
