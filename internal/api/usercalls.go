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
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		writeReply(w, http.StatusServiceUnavailable, nil)
		return
	}
	var a answer
	if !s.node.RefusedAlone() {
		a = s.users.Handle(r.Context(), operation, jobID, body)
	} else {
		a = refused
	}
	if a.refused {
		// The state service may refuse this node alone: a peer that it serves
		// can answer for us.
		if f, ok := s.peers.Forward(r.Context(), &peer.UserCall{Operation: operation, JobID: jobID, Body: body}); ok {
			writeReply(w, f.Status, f.Body)
			return
		}
	}
	writeReply(w, a.status, a.body)
}
