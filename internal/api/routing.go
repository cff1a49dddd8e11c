package api

import (
	"net/http"
	"strings"

	"marblehaven/internal/peer"
	"marblehaven/internal/protocol"
)

// ServeHTTP routes by hand: seven paths, and wrong methods need 405.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	switch {
	case path == "/hello":
		if requireMethod(w, r, http.MethodPost) {
			s.serveHeartbeat(w, r)
		}
	case path == "/up":
		if requireMethod(w, r, http.MethodGet) {
			if s.node.Healthy() {
				w.WriteHeader(http.StatusOK)
			} else {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}
	case path == "/v1/jobs":
		if requireMethod(w, r, http.MethodPost) {
			if body, ok := readBody(w, r); ok {
				s.serveUser(w, r, peer.OperationSubmit, "", body)
			}
		}
	case strings.HasPrefix(path, "/v1/jobs/"):
		name := strings.TrimPrefix(path, "/v1/jobs/")
		if name, ok := strings.CutSuffix(name, "/withdraw"); ok {
			if requireMethod(w, r, http.MethodPost) {
				s.serveUser(w, r, peer.OperationCancel, protocol.JobID(name), nil)
			}
		} else if requireMethod(w, r, http.MethodGet) {
			s.serveUser(w, r, peer.OperationStatus, protocol.JobID(name), nil)
		}
	case path == "/":
		if requireMethod(w, r, http.MethodGet) {
			s.serveStatusPage(w, r)
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func requireMethod(w http.ResponseWriter, r *http.Request, want string) bool {
	if r.Method == want || (want == http.MethodGet && r.Method == http.MethodHead) {
		return true
	}
	w.Header().Set("Allow", want)
	w.WriteHeader(http.StatusMethodNotAllowed)
	return false
}
