package api

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"marblehaven/internal/codec"
	"marblehaven/internal/tuning"
)

// readBody reads a body up to the protocol's limit and no further.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, tuning.MaxBody))
	if err == nil {
		return body, true
	}
	status := http.StatusBadRequest
	var big *http.MaxBytesError
	if errors.As(err, &big) {
		status = http.StatusRequestEntityTooLarge
	}
	w.WriteHeader(status)
	return nil, false
}

func writeReply(w http.ResponseWriter, status int, body any) {
	var raw []byte
	if body != nil {
		if b, ok := body.([]byte); ok {
			raw = b
		} else {
			raw, _ = codec.Marshal(body)
		}
	}
	h := w.Header()
	if len(raw) > 0 {
		h.Set("Content-Type", "application/msgpack")
	}
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.Itoa(tuning.RetryAfterS))
		// Connections are not moved: a user whose node cannot answer would ask it
		// again and again while the others could.
		h.Set("Connection", "close")
	}
	w.WriteHeader(status)
	w.Write(raw)
}
