package api

import (
	"net/http"

	"marblehaven/internal/peer"
	"marblehaven/internal/protocol"
)

// serveUser answers a user's call. When more come than can be worked on they are
// refused early, at once and alike.
func (s *Server) serveUser(w http.ResponseWriter, r *http.Request, operation peer.Operation, jobID protocol.JobID, body []byte) {
	select {
	case s.inFlight <- struct{}{}:
		defer func() { <-s.inFlight }()
	default:
		writeReply(w, http.StatusServiceUnavailable, nil)
		return
	}
	var reply userReply
	if !s.node.RefusedAlone() {
		reply = s.users.Handle(r.Context(), operation, jobID, body)
	} else {
		reply = storeRefusedReply
	}
	if reply.storeRefused {
		// The state service may refuse this node alone: a peer that it serves
		// can answer for us.
		if forwarded, ok := s.peers.Forward(r.Context(), &peer.UserCall{Operation: operation, JobID: jobID, Body: body}); ok {
			writeReply(w, forwarded.Status, forwarded.Body)
			return
		}
	}
	writeReply(w, reply.status, reply.body)
}
