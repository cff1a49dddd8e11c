package api

import (
	"context"
	"net/http"

	"marblehaven/internal/codec"
	"marblehaven/internal/leader"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// serveHeartbeat passes an agent's heartbeat to the local leader, or redirects the agent
// if this controller does not lead.
func (s *Server) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	heartbeat, err := decodeHeartbeat(body)
	if err != nil {
		s.malformed.Record(r.RemoteAddr, err)
		writeReply(w, http.StatusBadRequest, nil)
		return
	}
	if local := s.node.LocalLeader(); local != nil {
		answerHeartbeat(w, r, local, heartbeat)
		return
	}
	s.redirectHeartbeat(w)
}

func decodeHeartbeat(body []byte) (*protocol.Heartbeat, error) {
	heartbeat := new(protocol.Heartbeat)
	if err := codec.Unmarshal(body, heartbeat); err != nil {
		return nil, err
	}
	if err := heartbeat.Check(); err != nil {
		return nil, err
	}
	return heartbeat, nil
}

// answerHeartbeat replies with the local leader's answer. If the leader must not answer now
// (leader.ErrMayNotAnswer), or does not answer within tuning.HeartbeatDeadline, the reply is
// 503 with a Retry-After header.
func answerHeartbeat(w http.ResponseWriter, r *http.Request, local *leader.Leader, heartbeat *protocol.Heartbeat) {
	ctx, cancel := context.WithTimeout(r.Context(), tuning.HeartbeatDeadline)
	defer cancel()
	reply, err := local.Heartbeat(ctx, heartbeat)
	if err != nil {
		writeReply(w, http.StatusServiceUnavailable, nil)
		return
	}
	writeMessage(w, http.StatusOK, reply)
}

// redirectHeartbeat replies with the name of the leader that the agent must send its
// heartbeats to. The name is empty if this controller has no record of another leader.
func (s *Server) redirectHeartbeat(w http.ResponseWriter) {
	var redirect protocol.Redirect
	if current, ok := s.node.KnownLeader(); ok && current.Node != s.name {
		redirect.Leader = current.Node
	}
	s.redirected.Add(1)
	writeMessage(w, http.StatusMisdirectedRequest, redirect)
}

// RedirectedHeartbeats returns the number of heartbeats that this controller has
// redirected.
func (s *Server) RedirectedHeartbeats() uint64 { return s.redirected.Load() }
