package scheduler

import (
	"testing"

	"marblehaven/internal/protocol"
)

// A task whose machine's zone is not known, as after a takeover, may be in any
// zone. (On the users' bench, spread services were put together after one.)
func TestUnknownZoneCounts(t *testing.T) {
	spec := &protocol.Job{Tasks: 4, Spread: true}
	if n := ZoneCapacity(spec, map[string]int{"a": 1, "": 1}, "a"); n != 0 {
		t.Errorf("room for %d more where two may be already", n)
	}
	if n := ZoneCapacity(&protocol.Job{Tasks: 4, OneZone: true}, map[string]int{"": 1}, "a"); n != 0 {
		t.Errorf("room for %d in one zone while another may be in use", n)
	}
}
