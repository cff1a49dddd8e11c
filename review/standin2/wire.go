//go:build review2

package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"marblehaven/internal/codec"
)

// listen serves a handler on a free loopback port and returns the address.
func listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// answer writes a response with a MessagePack body; nil stands for no body.
func answer(w http.ResponseWriter, status int, message any) {
	var body []byte
	if message != nil {
		body, _ = codec.Marshal(message)
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// call sends a request and decodes the response into reply if its status is 200 or 421.
// Without a response within the timeout the status is 0.
func call(client *http.Client, method, url string, message, reply any, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var body io.Reader
	if message != nil {
		encoded, _ := codec.Marshal(message)
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	decodes := response.StatusCode == http.StatusOK || response.StatusCode == http.StatusCreated || response.StatusCode == http.StatusMisdirectedRequest
	if reply != nil && decodes && codec.Unmarshal(content, reply) != nil {
		return 0
	}
	return response.StatusCode
}
