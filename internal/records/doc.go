// Package records defines the records in the key-value store and their keys.
//
// An open job has the record o/<job>. Once the job has been scheduled, it also has a run record
// under o/<job>/t, whose further segments are o/<job>/t/<number>. A finished job has the record
// d/<job>. One transaction replaces the open record by the final one, so an accepted job has
// exactly one of the two at every moment, and a job with neither was never accepted. Segments
// without an open record belong to a finished job and may be deleted.
package records
