// Package records defines the durable records and their keys.
//
// An open job is o/<ref> and, once it was worked on, o/<ref>/t with the run record,
// whose further pieces are o/<ref>/t/<number> (see Piece). A finished job is
// d/<ref>. Closing moves a job from one to the other in one commit, so at every
// moment an accepted job is at exactly one of them: whoever finds neither may say
// that the job is not known. Pieces that are left without an open record belong to
// a finished job and may be removed.
package records
