// Package httpclient sends single HTTP requests with MessagePack bodies and reports with
// typed errors what is known of their outcome.
//
// The package encodes requests, decodes responses and logs malformed messages at a limited
// rate. It must never retry a request, or treat a response that it could not read as a
// usable one: only the callers can decide whether a request may be repeated.
package httpclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"marblehaven/internal/codec"
)

// Request is one HTTP request.
type Request struct {
	Method string
	URL    string
	// Body is sent as MessagePack; nil sends no body.
	Body any
	// Responses holds, by status, the value into which the response's body is decoded.
	// The body of a response with any other status is ignored.
	Responses map[int]any
}

// Client sends requests to one kind of service. It is safe for concurrent use.
type Client struct {
	HTTP *http.Client
	// Malformed logs responses that cannot be decoded; nil logs none.
	Malformed *MalformedLog
}

// Do sends a request once. It returns nil after a response with status 200, a *StatusError
// after one with another status, and a *NoResponseError if there was no usable response.
// Unless Do returns a *NoResponseError, the body has been decoded into the value that
// Responses holds for the status, if any. After a *NoResponseError the contents of these
// values are undefined.
func (c Client) Do(ctx context.Context, request Request) error {
	status, err := exchange(ctx, c.HTTP, request)
	if err != nil {
		if c.Malformed != nil && errors.Is(err, ErrMalformed) {
			c.Malformed.Record(request.URL, err)
		}
		return &NoResponseError{Method: request.Method, URL: request.URL, Err: err}
	}
	if status != http.StatusOK {
		return &StatusError{Method: request.Method, URL: request.URL, Status: status}
	}
	return nil
}

// exchange sends the request and reads the whole response. An error means that there is no
// usable response.
func exchange(ctx context.Context, httpClient *http.Client, request Request) (status int, err error) {
	httpRequest, err := newHTTPRequest(ctx, request)
	if err != nil {
		return 0, err
	}
	response, err := httpClient.Do(httpRequest)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if value := request.Responses[response.StatusCode]; value != nil {
		if err := codec.Unmarshal(body, value); err != nil {
			return 0, fmt.Errorf("%w (status %d): %v", ErrMalformed, response.StatusCode, err)
		}
	}
	return response.StatusCode, nil
}

func newHTTPRequest(ctx context.Context, request Request) (*http.Request, error) {
	if request.Body == nil {
		return http.NewRequestWithContext(ctx, request.Method, request.URL, nil)
	}
	body, err := codec.Marshal(request.Body)
	if err != nil {
		return nil, err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, request.URL, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("Content-Type", "application/msgpack")
	return httpRequest, nil
}
