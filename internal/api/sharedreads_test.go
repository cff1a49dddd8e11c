package api

import (
	"slices"
	"testing"

	"marblehaven/internal/protocol"
	"marblehaven/internal/records"
)

// recordsOf must select the open record of a job and the segments of its run record, no
// record of another job whose name begins with the job's name, and nothing if the job is
// not open.
func TestRecordsOf(t *testing.T) {
	var entries []protocol.KeyValue
	for _, key := range []string{
		records.OpenKey("req-1"), records.SegmentKey("req-1", 0), records.SegmentKey("req-1", 3),
		records.OpenKey("req-10"), records.SegmentKey("req-10", 0), records.SegmentKey("req-11", 0), records.OpenKey("req-2"),
	} {
		entries = append(entries, protocol.KeyValue{Key: key})
	}
	for _, test := range []struct {
		name  string
		jobID protocol.JobID
		want  []string
	}{
		{"open record and two segments", "req-1", []string{"o/req-1", "o/req-1/t", "o/req-1/t/3"}},
		{"name that begins with another job's name", "req-10", []string{"o/req-10", "o/req-10/t"}},
		{"closed job with a leftover segment", "req-11", nil},
		{"open record alone", "req-2", []string{"o/req-2"}},
		{"job without records", "req-3", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			for _, entry := range recordsOf(entries, test.jobID) {
				got = append(got, entry.Key)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("records of %s: %v instead of %v", test.jobID, got, test.want)
			}
		})
	}
}
