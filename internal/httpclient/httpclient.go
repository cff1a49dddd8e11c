// Package httpclient sends HTTP requests with MessagePack bodies, and logs answers
// that cannot be read at a limited rate.
package httpclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/tuning"
)

// ErrMalformed: an answer that cannot be read. It counts as no answer.
var ErrMalformed = errors.New("malformed answer")

// MalformedLog logs malformed messages at a limited rate.
type MalformedLog struct {
	log  *slog.Logger
	last atomic.Int64 // when it last logged, ns
}

// NewMalformedLog makes a log of malformed messages.
func NewMalformedLog(log *slog.Logger) *MalformedLog { return &MalformedLog{log: log} }

// Record logs a malformed message, unless another was logged just before.
func (c *MalformedLog) Record(from string, err error) {
	now := time.Now().UnixNano()
	last := c.last.Load()
	if now-last >= int64(tuning.ErrorLogInterval) && c.last.CompareAndSwap(last, now) {
		c.log.Error("malformed message", "from", from, "err", err)
	}
}

// Caller makes calls to one kind of service.
type Caller struct {
	HTTP      *http.Client
	Malformed *MalformedLog
}

// Call is Call, with malformed answers noted.
func (c Caller) Call(ctx context.Context, method, url string, in any, out map[int]any) (int, error) {
	status, err := Call(ctx, c.HTTP, method, url, in, out)
	if errors.Is(err, ErrMalformed) {
		c.Malformed.Record(url, err)
	}
	return status, err
}

// Call makes one HTTP request with MessagePack bodies. The answer's body is
// decoded into out[status] where there is one. err is set when there was no
// usable answer, in which case the request may or may not have been executed.
func Call(ctx context.Context, hc *http.Client, method, url string, in any, out map[int]any) (status int, err error) {
	var body io.Reader
	if in != nil {
		b, err := codec.Marshal(in)
		if err != nil {
			return 0, err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, err
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/msgpack")
	}
	resp, err := hc.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if v, ok := out[resp.StatusCode]; ok && v != nil {
		if err := codec.Unmarshal(raw, v); err != nil {
			return 0, fmt.Errorf("%w (status %d): %v", ErrMalformed, resp.StatusCode, err)
		}
	}
	return resp.StatusCode, nil
}
