package api

import (
	"errors"
	"net/http"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
)

// userReply is the reply to a user's call.
type userReply struct {
	status int    // the HTTP status
	body   []byte // encoded; nil if the reply consists of the status alone
	// storeUnavailable marks the 503 of a controller that the key-value store does not
	// serve. A peer that the store serves may answer instead.
	storeUnavailable bool
}

var (
	// unavailableReply is a 503, after which the user retries.
	unavailableReply = userReply{status: http.StatusServiceUnavailable}
	// storeUnavailableReply is the 503 that is sent if the store does not serve this
	// controller and no peer can answer either.
	storeUnavailableReply = userReply{status: http.StatusServiceUnavailable, storeUnavailable: true}
)

// errNoSuchJob is the reply's text for a job that was never accepted.
var errNoSuchJob = errors.New("no such job")

func noSuchJobReply() userReply { return errorReply(http.StatusNotFound, errNoSuchJob) }

// errorReply returns the reply to a call that is refused permanently, with the reason.
func errorReply(status int, reason error) userReply {
	return encodedReply(status, protocol.ErrorReply{Error: reason.Error()})
}

// jobReply returns a reply with the status of a job.
func jobReply(status int, job protocol.JobStatus) userReply { return encodedReply(status, job) }

func encodedReply(status int, message any) userReply {
	body, _ := codec.Marshal(message) // the messages of this package always have an encoding
	return userReply{status: status, body: body}
}
