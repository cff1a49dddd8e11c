package fake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"time"
)

// From is the transport of a host. It stops sending when the host's life ends;
// what was sent before arrives all the same.
func (n *Network) From(life context.Context, host string) http.RoundTripper {
	return transport{n, life, host}
}

type transport struct {
	network *Network
	life    context.Context
	host    string
}

type roundTripResult struct {
	response *http.Response
	err      error
}

func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.life.Err() != nil {
		return nil, t.life.Err()
	}
	var body []byte
	if req.Body != nil {
		body, _ = io.ReadAll(req.Body)
		req.Body.Close()
	}
	t.network.mu.Lock()
	to, known := t.network.hosts[req.URL.Host]
	outboundBlocked := t.network.outboundBlocked[t.host]
	t.network.mu.Unlock()
	switch {
	case !known:
		return nil, errors.New("no such host")
	case outboundBlocked:
		return nil, errors.New("no connection")
	}
	done := make(chan roundTripResult, 1)
	go func() {
		if err := t.network.awaitDelivery(t.host, to); err != nil {
			done <- roundTripResult{nil, err}
			return
		}
		t.network.mu.Lock()
		h := t.network.handlers[req.URL.Host]
		maxDelay, repeatable := t.network.Repeat[req.URL.Path]
		duplicated := repeatable && t.network.random.Float64() < 0.2
		t.network.mu.Unlock()
		if h == nil {
			done <- roundTripResult{nil, errors.New("connection refused")}
			return
		}
		rec := t.network.serve(h, req, body, t.host)
		if duplicated && rec.Code == http.StatusOK { // only what was carried out is repeated
			go func() {
				time.Sleep(time.Duration(t.network.randomFloat() * float64(maxDelay)))
				t.network.mu.Lock()
				h := t.network.handlers[req.URL.Host] // there may be a new process by now
				t.network.mu.Unlock()
				if h != nil {
					t.network.serve(h, req, body, t.host)
				}
			}()
		}
		if err := t.network.awaitDelivery(to, t.host); err != nil {
			done <- roundTripResult{nil, err}
			return
		}
		done <- roundTripResult{rec.Result(), nil}
	}()
	select {
	case result := <-done:
		return result.response, result.err
	case <-req.Context().Done():
		return nil, req.Context().Err()
	case <-t.life.Done():
		return nil, t.life.Err()
	}
}

func (n *Network) serve(h http.Handler, req *http.Request, body []byte, from string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(req.Method, req.URL.String(), bytes.NewReader(body))
	r.RemoteAddr = from
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	return rec
}
