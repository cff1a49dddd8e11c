package api

import (
	"net/http"
	"strings"

	"marblehaven/internal/peer"
	"marblehaven/internal/protocol"
)

// The paths of the HTTP interface.
const (
	pathStatusPage = "/"
	pathHeartbeat  = "/hello"
	pathHealth     = "/up"
	pathJobs       = "/v1/jobs"
	pathJobPrefix  = pathJobs + "/"
	suffixCancel   = "/withdraw"
)

// ServeHTTP routes a request by its path and method. The router of the standard library
// is not used: it would redirect paths that it cleans and send other Allow headers.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	switch {
	case path == pathHeartbeat:
		serveMethod(w, r, http.MethodPost, s.serveHeartbeat)
	case path == pathHealth:
		serveMethod(w, r, http.MethodGet, s.serveHealth)
	case path == pathJobs:
		serveMethod(w, r, http.MethodPost, s.serveSubmission)
	case strings.HasPrefix(path, pathJobPrefix):
		s.routeJob(w, r, strings.TrimPrefix(path, pathJobPrefix))
	case path == pathStatusPage:
		serveMethod(w, r, http.MethodGet, s.serveStatusPage)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// routeJob routes a request for one job. The name comes from the path unchecked; the code
// that answers the call checks that it is a job ID.
func (s *Server) routeJob(w http.ResponseWriter, r *http.Request, name string) {
	method, call := http.MethodGet, &peer.UserCall{Operation: peer.OperationStatus, JobID: protocol.JobID(name)}
	if cancelled, ok := strings.CutSuffix(name, suffixCancel); ok {
		method, call = http.MethodPost, &peer.UserCall{Operation: peer.OperationCancel, JobID: protocol.JobID(cancelled)}
	}
	serveMethod(w, r, method, func(w http.ResponseWriter, r *http.Request) { s.serveUserCall(w, r, call) })
}

// serveMethod calls the handler if the request has the method. HEAD counts as GET.
func serveMethod(w http.ResponseWriter, r *http.Request, method string, handler http.HandlerFunc) {
	if r.Method == method || (method == http.MethodGet && r.Method == http.MethodHead) {
		handler(w, r)
		return
	}
	w.Header().Set("Allow", method)
	w.WriteHeader(http.StatusMethodNotAllowed)
}

// serveHealth answers health checks: 200 if this controller can take requests, 503
// otherwise.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if s.node.Healthy() {
		w.WriteHeader(http.StatusOK)
	} else {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
