package api

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"marblehaven/internal/codec"
	"marblehaven/internal/tuning"
)

// readBody reads a request body of at most tuning.MaxBody bytes, the protocol's limit. If
// it returns false, it has already replied to the request with an error status.
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

// writeMessage encodes a message as the body of a reply.
func writeMessage(w http.ResponseWriter, status int, message any) {
	body, _ := codec.Marshal(message) // the messages of this package always have an encoding
	writeReply(w, status, body)
}

// writeReply writes a reply with an encoded body, which may be empty.
func writeReply(w http.ResponseWriter, status int, body []byte) {
	header := w.Header()
	if len(body) > 0 {
		header.Set("Content-Type", "application/msgpack")
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.Itoa(tuning.RetryAfterS))
		// The user's retries would arrive at this controller again as long as the
		// connection is kept open, although other controllers could answer them.
		header.Set("Connection", "close")
	}
	w.WriteHeader(status)
	w.Write(body)
}
