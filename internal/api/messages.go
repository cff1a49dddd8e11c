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
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	w.WriteHeader(status)
	return nil, false
}

func writeReply(w http.ResponseWriter, status int, body any) {
	var raw []byte
	if body != nil {
		if encoded, ok := body.([]byte); ok {
			raw = encoded
		} else {
			raw, _ = codec.Marshal(body)
		}
	}
	header := w.Header()
	if len(raw) > 0 {
		header.Set("Content-Type", "application/msgpack")
	}
	header.Set("Content-Length", strconv.Itoa(len(raw)))
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.Itoa(tuning.RetryAfterS))
		// Connections are not moved: a user whose node cannot answer would ask it
		// again and again while the others could.
		header.Set("Connection", "close")
	}
	w.WriteHeader(status)
	w.Write(raw)
}
