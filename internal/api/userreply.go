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
	body   []byte // encoded; nil where the status says all
	// storeRefused marks the reply of a controller that the key-value store does not
	// serve. A peer that the store serves may answer instead.
	storeRefused bool
}

var (
	// unavailableReply asks the user to come back later.
	unavailableReply = userReply{status: http.StatusServiceUnavailable}
	// storeRefusedReply is the reply if no peer can answer either.
	storeRefusedReply = userReply{status: http.StatusServiceUnavailable, storeRefused: true}
)

// errNoSuchJob is the reply's text for a job that was never accepted.
var errNoSuchJob = errors.New("no such job")

func noSuchJobReply() userReply { return errorReply(http.StatusNotFound, errNoSuchJob) }

// errorReply tells the user why a call is refused for good.
func errorReply(status int, reason error) userReply {
	return encodedReply(status, protocol.ErrorReply{Error: reason.Error()})
}

// jobReply tells the user the status of a job.
func jobReply(status int, job protocol.JobStatus) userReply { return encodedReply(status, job) }

func encodedReply(status int, message any) userReply {
	body, _ := codec.Marshal(message) // the messages of this package always have an encoding
	return userReply{status: status, body: body}
}
