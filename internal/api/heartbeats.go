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
	if localLeader := s.node.LocalLeader(); localLeader != nil {
		ctx, cancel := context.WithTimeout(r.Context(), tuning.HeartbeatDeadline)
		defer cancel()
		if reply, err := localLeader.Heartbeat(ctx, &heartbeat); err == nil {
			writeReply(w, http.StatusOK, reply)
			return
		}
		writeReply(w, http.StatusServiceUnavailable, nil)
		return
	}
	var redirect protocol.Redirect
	if leader, ok := s.node.Leader(); ok && leader.Node != s.name {
		redirect.Leader = leader.Node
	}
	s.redirected.Add(1)
	writeReply(w, http.StatusMisdirectedRequest, redirect)
}

// Redirected counts the workers' reports that were not for this node.
func (s *Server) Redirected() uint64 { return s.redirected.Load() }
