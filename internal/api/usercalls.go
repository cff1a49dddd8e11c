package api

import (
	"net/http"

	"marblehaven/internal/peer"
)

func (s *Server) serveSubmission(w http.ResponseWriter, r *http.Request) {
	if body, ok := readBody(w, r); ok {
		s.serveUserCall(w, r, &peer.UserCall{Operation: peer.OperationSubmit, Body: body})
	}
}

// serveUserCall answers a user's call. A call beyond the limit of calls in flight is
// refused with 503 without waiting, whatever its operation.
func (s *Server) serveUserCall(w http.ResponseWriter, r *http.Request, call *peer.UserCall) {
	select {
	case s.inFlight <- struct{}{}:
		defer func() { <-s.inFlight }()
	default:
		writeReply(w, http.StatusServiceUnavailable, nil)
		return
	}
	reply := storeUnavailableReply
	if !s.node.StoreFailureIsLocal() {
		reply = s.users.answer(r.Context(), call)
	}
	if reply.storeUnavailable {
		// The key-value store may be unavailable to this controller only. A peer that the
		// store serves can then answer.
		if forwarded, ok := s.peers.Forward(r.Context(), call); ok {
			writeReply(w, forwarded.Status, forwarded.Body)
			return
		}
	}
	writeReply(w, reply.status, reply.body)
}
