package fake

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"
)

// From returns the HTTP transport of a host. The host sends nothing after hostCtx has ended, but
// requests that were sent before are still delivered.
func (n *Network) From(hostCtx context.Context, host string) http.RoundTripper {
	return transport{n, hostCtx, host}
}

// sentAtHeader holds the time at which a request was sent, also in a late copy.
const sentAtHeader = "X-Sent-At"

// sentAt returns when a delivered request was sent.
func sentAt(delivered *http.Request) time.Time {
	at, _ := time.Parse(time.RFC3339Nano, delivered.Header.Get(sentAtHeader))
	return at
}

// transport sends the HTTP requests of one host over the network.
type transport struct {
	network *Network
	hostCtx context.Context
	host    string
}

// roundTripResult is the outcome of one request.
type roundTripResult struct {
	response *http.Response
	err      error
}

// RoundTrip implements http.RoundTripper. If the caller gives up, the request is still delivered,
// so its outcome is unknown to the caller.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.hostCtx.Err() != nil {
		return nil, t.hostCtx.Err()
	}
	req = req.Clone(req.Context())
	req.Header.Set(sentAtHeader, time.Now().Format(time.RFC3339Nano))
	var body []byte
	if req.Body != nil {
		body, _ = io.ReadAll(req.Body)
		req.Body.Close()
	}
	to, err := t.connect(req.URL.Host)
	if err != nil {
		return nil, err
	}
	done := make(chan roundTripResult, 1)
	go func() { done <- t.exchange(req, body, to) }()
	select {
	case result := <-done:
		return result.response, result.err
	case <-req.Context().Done():
		return nil, req.Context().Err()
	case <-t.hostCtx.Done():
		return nil, t.hostCtx.Err()
	}
}

// connect returns the host of an address, or an error if there is none or the transport's own
// host cannot open connections.
func (t transport) connect(addr string) (host string, err error) {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	host, known := t.network.hosts[addr]
	switch {
	case !known:
		return "", fmt.Errorf("no host at address %s", addr)
	case t.network.outboundBlocked[t.host]:
		return "", fmt.Errorf("host %s cannot open connections", t.host)
	}
	return host, nil
}

// exchange delivers a request, passes it to the handler, and delivers the answer.
func (t transport) exchange(req *http.Request, body []byte, to string) roundTripResult {
	if err := t.network.awaitDelivery(t.host, to); err != nil {
		return roundTripResult{nil, err}
	}
	handler, duplicated, maxDelay := t.network.receive(req)
	if handler == nil {
		return roundTripResult{nil, fmt.Errorf("connection to %s refused", req.URL.Host)}
	}
	recorder := t.network.serve(handler, req, body, t.host)
	if duplicated && recorder.Code == http.StatusOK { // only a request that was carried out is repeated
		go t.deliverDuplicate(req, body, maxDelay)
	}
	if err := t.network.awaitDelivery(to, t.host); err != nil {
		return roundTripResult{nil, err}
	}
	return roundTripResult{recorder.Result(), nil}
}

// duplicateProbability is the probability that a request arrives twice if its path is in
// maxDuplicateDelays.
const duplicateProbability = 0.2

// receive returns the handler of a request, and decides whether the request will arrive a
// second time and how much later at most. The random number is drawn even without a handler,
// so that the sequence of a fixed seed stays the same.
func (n *Network) receive(req *http.Request) (handler http.Handler, duplicated bool, maxDelay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	maxDelay, repeatable := n.maxDuplicateDelays[req.URL.Path]
	duplicated = repeatable && n.random.Float64() < duplicateProbability
	return n.handlers[req.URL.Host], duplicated, maxDelay
}

// deliverDuplicate delivers a request a second time, to the handler that listens at that time.
func (t transport) deliverDuplicate(req *http.Request, body []byte, maxDelay time.Duration) {
	time.Sleep(time.Duration(t.network.randomFloat() * float64(maxDelay)))
	t.network.deliverCopy(req, body, t.host)
}

// deliverCopy delivers a copy of a request at once, to the handler that listens now. Nobody
// receives the answer.
func (n *Network) deliverCopy(req *http.Request, body []byte, from string) {
	n.mu.Lock()
	handler := n.handlers[req.URL.Host] // another process may have started to listen
	n.mu.Unlock()
	if handler != nil {
		n.serve(handler, req, body, from)
	}
}

// serve passes a request that has arrived from a host to a handler, and returns the answer.
func (n *Network) serve(handler http.Handler, request *http.Request, body []byte, from string) *httptest.ResponseRecorder {
	delivered := httptest.NewRequest(request.Method, request.URL.String(), bytes.NewReader(body))
	delivered.RemoteAddr = from
	delivered.Header.Set(sentAtHeader, request.Header.Get(sentAtHeader))
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, delivered)
	return recorder
}
