package api

import (
	"slices"
	"testing"

	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// Of the records of all open jobs each job gets its own: its open record and the pieces of
// its run record, none of another whose name begins the same, and nothing if it is not open.
func TestRecordsOf(t *testing.T) {
	var entries []protocol.KeyValue
	for _, key := range []string{
		records.OpenKey("req-1"), records.SegmentKey("req-1", 0), records.SegmentKey("req-1", 3),
		records.OpenKey("req-10"), records.SegmentKey("req-10", 0), records.SegmentKey("req-11", 0), records.OpenKey("req-2"),
	} {
		entries = append(entries, protocol.KeyValue{Key: key})
	}
	for jobID, want := range map[protocol.JobID][]string{
		"req-1":  {"o/req-1", "o/req-1/t", "o/req-1/t/3"},
		"req-10": {"o/req-10", "o/req-10/t"},
		"req-11": nil, // closed: what is left of its run record counts for nobody
		"req-2":  {"o/req-2"},
		"req-3":  nil,
	} {
		var got []string
		for _, entry := range recordsOf(entries, jobID) {
			got = append(got, entry.Key)
		}
		if !slices.Equal(got, want) {
			t.Errorf("records of %s: %v instead of %v", jobID, got, want)
		}
	}
}
