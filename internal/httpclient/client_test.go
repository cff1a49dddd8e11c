package httpclient_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/httpclient"
)

type payload struct {
	Text string `msgpack:"text"`
}

func encode(t *testing.T, value any) []byte {
	t.Helper()
	body, err := codec.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// TestAnswers checks which error Do returns for a response, and whether Do decodes its body.
func TestAnswers(t *testing.T) {
	validBody := encode(t, payload{"decoded"})
	for _, c := range []struct {
		name       string
		status     int
		body       []byte
		wantStatus int  // of the StatusError; 200: no error; 0: no usable response
		malformed  bool // whether the error wraps ErrMalformed
		wantText   string
	}{
		{name: "200 with a body", status: 200, body: validBody, wantStatus: 200, wantText: "decoded"},
		{name: "200 with an empty body", status: 200, malformed: true},
		{name: "200 with half a body", status: 200, body: validBody[:len(validBody)-2], malformed: true},
		{name: "200 with trailing bytes", status: 200, body: append(bytes.Clone(validBody), 0xc0), malformed: true, wantText: "decoded"},
		{name: "409 with a body that is asked for", status: 409, body: validBody, wantStatus: 409, wantText: "decoded"},
		{name: "409 with a body that cannot be decoded", status: 409, body: []byte("conflict"), malformed: true},
		{name: "400 with an empty body that is asked for", status: 400, malformed: true},
		{name: "404 whose body nobody asks for", status: 404, body: []byte("not found"), wantStatus: 404},
		{name: "201 whose body nobody asks for", status: 201, body: validBody, wantStatus: 201},
		{name: "202 asked for with a nil value", status: 202, body: validBody, wantStatus: 202},
		{name: "503 without a body", status: 503, wantStatus: 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				w.Write(c.body)
			}))
			defer server.Close()
			var logged bytes.Buffer
			client := httpclient.Client{HTTP: server.Client(), Malformed: httpclient.NewMalformedLog(slog.New(slog.NewTextHandler(&logged, nil)))}
			var got payload
			err := client.Do(t.Context(), httpclient.Request{Method: http.MethodGet, URL: server.URL + "/path",
				Responses: map[int]any{200: &got, 202: nil, 400: &got, 409: &got}})
			checkError(t, err, c.wantStatus, server.URL+"/path")
			if errors.Is(err, httpclient.ErrMalformed) != c.malformed {
				t.Errorf("error wraps ErrMalformed: %v, want the opposite, for error %v", !c.malformed, err)
			}
			if wrote := strings.Contains(logged.String(), "malformed message"); wrote != c.malformed {
				t.Errorf("a malformed message is missing in the log or unexpected there: %q", logged.String())
			}
			if got.Text != c.wantText {
				t.Errorf("decoded %q, want %q", got.Text, c.wantText)
			}
		})
	}
}

// checkError checks that an error is the one for a status: for 200 none, for 0 a
// NoResponseError, for any other a StatusError.
func checkError(t *testing.T, err error, status int, url string) {
	t.Helper()
	var statusErr *httpclient.StatusError
	var noResponse *httpclient.NoResponseError
	isStatusError, isNoResponse := errors.As(err, &statusErr), errors.As(err, &noResponse)
	switch {
	case status == http.StatusOK && err != nil:
		t.Errorf("got error %v, want none", err)
	case status == http.StatusOK:
	case status == 0 && (!isNoResponse || isStatusError || noResponse.Method != http.MethodGet || noResponse.URL != url):
		t.Errorf("got error %v, want a NoResponseError", err)
	case status > 0 && (!isStatusError || isNoResponse || *statusErr != httpclient.StatusError{Method: http.MethodGet, URL: url, Status: status}):
		t.Errorf("got error %v, want a StatusError with status %d", err, status)
	case status > 0 && (!httpclient.HasStatus(err, status) || httpclient.HasStatus(err, status+1)):
		t.Errorf("HasStatus reports the wrong status for error %v", err)
	}
}

// TestNoAnswer checks that a request without a completely read response fails with a
// NoResponseError, which leaves the outcome unknown, that the error wraps the cause, and
// that nothing is logged as malformed.
func TestNoAnswer(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	truncate := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		w.Write([]byte("the start"))
	}
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		timeout time.Duration
		body    any
		cause   error // nil: any
	}{
		{name: "timeout", handler: hang, timeout: 20 * time.Millisecond, cause: context.DeadlineExceeded},
		{name: "answer that breaks off", handler: truncate, timeout: time.Minute, cause: io.ErrUnexpectedEOF},
		{name: "body that cannot be encoded", handler: truncate, timeout: time.Minute, body: func() {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
			defer cancel()
			var logged bytes.Buffer
			client := httpclient.Client{HTTP: server.Client(), Malformed: httpclient.NewMalformedLog(slog.New(slog.NewTextHandler(&logged, nil)))}
			err := client.Do(ctx, httpclient.Request{Method: http.MethodGet, URL: server.URL, Body: c.body})
			checkError(t, err, 0, server.URL)
			if c.cause != nil && !errors.Is(err, c.cause) {
				t.Errorf("error %v does not wrap %v", err, c.cause)
			}
			if errors.Is(err, httpclient.ErrMalformed) || logged.Len() > 0 {
				t.Errorf("got error %v, logged %q; want neither ErrMalformed nor a log line", err, logged.String())
			}
		})
	}
}

// TestRequestSent checks what Do sends: the method, and the body as MessagePack with its
// content type. A request without a body has no content type.
func TestRequestSent(t *testing.T) {
	for _, c := range []struct {
		name, method, wantType string
		body                   any
	}{
		{name: "with a body", method: http.MethodPost, body: payload{"sent"}, wantType: "application/msgpack"},
		{name: "without a body", method: http.MethodDelete},
	} {
		t.Run(c.name, func(t *testing.T) {
			var method, contentType string
			var body []byte
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				method, contentType = r.Method, r.Header.Get("Content-Type")
				body, _ = io.ReadAll(r.Body)
			}))
			defer server.Close()
			client := httpclient.Client{HTTP: server.Client()}
			if err := client.Do(t.Context(), httpclient.Request{Method: c.method, URL: server.URL, Body: c.body}); err != nil {
				t.Fatal(err)
			}
			var want []byte
			if c.body != nil {
				want = encode(t, c.body)
			}
			if method != c.method || contentType != c.wantType || !bytes.Equal(body, want) {
				t.Errorf("sent method %s, content type %q, body %x", method, contentType, body)
			}
		})
	}
}
