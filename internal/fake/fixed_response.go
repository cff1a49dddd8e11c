package fake

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// FixedResponse is an HTTP transport that answers every request with the same response.
type FixedResponse struct {
	Status int // 0: the connection fails
	Body   []byte
}

// RoundTrip implements http.RoundTripper.
func (f FixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	if f.Status == 0 {
		return nil, errors.New("connection refused")
	}
	return &http.Response{StatusCode: f.Status, Body: io.NopCloser(bytes.NewReader(f.Body))}, nil
}
