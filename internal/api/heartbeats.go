package api

import (
	"context"
	"net/http"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

func (s *Server) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	var heartbeat protocol.Heartbeat
	err := codec.Unmarshal(body, &heartbeat)
	if err == nil {
		err = heartbeat.Check()
	}
	if err != nil {
		s.malformed.Record(r.RemoteAddr, err)
		writeReply(w, http.StatusBadRequest, nil)
		return
	}
	if c := s.node.LocalLeader(); c != nil {
		ctx, cancel := context.WithTimeout(r.Context(), tuning.HeartbeatDeadline)
		defer cancel()
		if h, err := c.Heartbeat(ctx, &heartbeat); err == nil {
			writeReply(w, http.StatusOK, h)
			return
		}
		writeReply(w, http.StatusServiceUnavailable, nil)
		return
	}
	var to protocol.Redirect
	if t, ok := s.node.Leader(); ok && t.Node != s.name {
		to.Leader = t.Node
	}
	s.redirected.Add(1)
	writeReply(w, http.StatusMisdirectedRequest, to)
}

// Redirected counts the workers' reports that were not for this node.
func (s *Server) Redirected() uint64 { return s.redirected.Load() }
