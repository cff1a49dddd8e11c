// Package kvstore speaks to the state service. It holds no policy: callers
// decide what an unknown outcome means.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"marblehaven/internal/config"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

var (
	// ErrOutcomeUnknown: no usable answer; the request may be executed, also later.
	ErrOutcomeUnknown = errors.New("state service: outcome unknown")
	// ErrUnavailable: answered 503 or 429; the request was not executed.
	ErrUnavailable = errors.New("state service: refused")
	// ErrThrottled: answered 429; the request was not executed.
	ErrThrottled = fmt.Errorf("%w: too many requests", ErrUnavailable)
	// ErrConflict: a guard of the commit did not hold.
	ErrConflict = errors.New("state service: guard failed")
	// ErrNotFound: no such key.
	ErrNotFound = errors.New("state service: not found")
	// ErrLeaseExpired: the grant is over.
	ErrLeaseExpired = errors.New("state service: grant is over")
	// ErrInvalidRequest: the service refused the request as malformed; not executed.
	ErrInvalidRequest = errors.New("state service: malformed request")
	// ErrTooLarge: the transaction exceeds the limits, so it was not sent.
	ErrTooLarge = errors.New("state service: beyond the limits")
	// ErrCompacted: the follow position is too old.
	ErrCompacted = errors.New("state service: changes no longer kept")
)

// Client is a client of the state service. It is safe for concurrent use.
type Client struct {
	base       string
	http       httpclient.Client
	limits     *limits
	lastServed atomic.Int64 // steady time of the last answer that shows service, ns since start
	start      time.Time
}

// New makes a client for the address host:port over the given transport, within
// the limits that the settings give.
func New(addr string, rt http.RoundTripper, cs *httpclient.MalformedLog, state config.State) *Client {
	return &Client{base: "http://" + addr, http: httpclient.Client{HTTP: &http.Client{Transport: rt}, Malformed: cs},
		limits: newLimits(state), start: time.Now()}
}

// MaxValueBytes is the largest value, in bytes as JSON, that may be written now.
func (c *Client) MaxValueBytes() int { return c.limits.valueBytes() }

// MaxMutations is how many changes a transaction may have.
func (c *Client) MaxMutations() int { return c.limits.smaller.TxnOps }

// UseAnnouncedLimits keeps to the smaller of the present and the announced value limit
// from now on.
func (c *Client) UseAnnouncedLimits() { c.limits.announced.Store(true) }

// SinceServed is the time since the service last answered other than by refusing.
func (c *Client) SinceServed() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastServed.Load())
}

func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, in any, out map[int]any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := c.http.Do(ctx, httpclient.Request{Method: method, URL: c.base + path, Body: in, Responses: out})
	status := http.StatusOK
	var answered *httpclient.StatusError
	switch {
	case errors.As(err, &answered):
		status = answered.Status
	case err != nil:
		return 0, fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	if status != http.StatusServiceUnavailable {
		c.lastServed.Store(int64(time.Since(c.start)))
	}
	switch status {
	case http.StatusServiceUnavailable:
		return status, ErrUnavailable
	case http.StatusTooManyRequests:
		return status, ErrThrottled
	}
	return status, nil
}

func unexpected(status int) error { return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status) }

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (protocol.KeyValue, error) {
	var entry protocol.KeyValue
	status, err := c.call(ctx, tuning.StateTimeout, http.MethodGet, "/keys/"+key, nil, map[int]any{200: &entry})
	switch {
	case err != nil:
		return entry, err
	case status == 404:
		return entry, ErrNotFound
	case status != 200 || entry.Version == 0:
		return entry, unexpected(status)
	}
	return entry, nil
}

// List reads one page of the keys with a prefix.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (protocol.KeyValuePage, error) {
	var page protocol.KeyValuePage
	q := url.Values{"prefix": {prefix}, "most": {fmt.Sprint(limit)}}
	if after != "" {
		q.Set("after", after)
	}
	status, err := c.call(ctx, tuning.StateTimeout, http.MethodGet, "/keys?"+q.Encode(), nil, map[int]any{200: &page})
	if err == nil && status != 200 {
		err = unexpected(status)
	}
	return page, err
}

// ListAll reads all keys with a prefix. The revision is the first page's: a
// follow from it sees whatever changed between the pages. A page that does not go on
// where the last one ended is an error: what is missing would look like records that
// do not exist.
func (c *Client) ListAll(ctx context.Context, prefix string) (protocol.KeyValuePage, error) {
	var all protocol.KeyValuePage
	for last := ""; ; {
		page, err := c.List(ctx, prefix, last, tuning.StatePage)
		if err != nil {
			return protocol.KeyValuePage{}, err
		}
		if last == "" {
			all.Revision = page.Revision
		}
		for _, item := range page.Entries {
			if item.Key <= last {
				return protocol.KeyValuePage{}, fmt.Errorf("%w: key %q listed after %q", ErrOutcomeUnknown, item.Key, last)
			}
			last = item.Key
		}
		all.Entries = append(all.Entries, page.Entries...)
		if !page.More {
			return all, nil
		}
		if len(page.Entries) == 0 {
			return protocol.KeyValuePage{}, fmt.Errorf("%w: empty page with more to come", ErrOutcomeUnknown)
		}
	}
}

// Commit applies a transaction. On ErrConflict the reply names the guards. All
// writes of the service come through here, so here they are held to the limits.
func (c *Client) Commit(ctx context.Context, txn protocol.Transaction) (protocol.TransactionReply, error) {
	var r protocol.TransactionReply
	if err := c.limits.check(&txn); err != nil {
		return r, err
	}
	status, err := c.call(ctx, tuning.StateTimeout, http.MethodPost, "/commit", txn,
		map[int]any{200: &r, 409: &r, 400: &r})
	switch {
	case err != nil:
		return r, err
	case status == 409:
		return r, ErrConflict
	case status == 400 && r.Error == protocol.ReasonNoLease:
		return r, ErrLeaseExpired
	case status == 400:
		// The limits may have become smaller, which no message announces.
		c.UseAnnouncedLimits()
		return r, fmt.Errorf("%w: %s", ErrInvalidRequest, r.Error)
	case status != 200 || r.Revision == 0:
		return r, unexpected(status)
	}
	return r, nil
}

// GrantLease opens a lease.
func (c *Client) GrantLease(ctx context.Context, life time.Duration) (protocol.LeaseID, error) {
	var g protocol.Lease
	status, err := c.call(ctx, tuning.StateTimeout, http.MethodPost, "/grants",
		protocol.LeaseRequest{TTLMS: life.Milliseconds()}, map[int]any{200: &g})
	if err == nil && (status != 200 || g.ID == 0) {
		err = unexpected(status)
	}
	return g.ID, err
}

// KeepAlive renews a lease.
func (c *Client) KeepAlive(ctx context.Context, lease protocol.LeaseID) error {
	status, err := c.call(ctx, tuning.StateTimeout, http.MethodPost, fmt.Sprintf("/grants/%d/touch", lease), nil, nil)
	switch {
	case err != nil:
		return err
	case status == 404:
		return ErrLeaseExpired
	case status != 200:
		return unexpected(status)
	}
	return nil
}

// RevokeLease ends a lease at once.
func (c *Client) RevokeLease(ctx context.Context, lease protocol.LeaseID) error {
	status, err := c.call(ctx, tuning.StateTimeout, http.MethodDelete, fmt.Sprintf("/grants/%d", lease), nil, nil)
	if err == nil && status != 200 && status != 404 {
		err = unexpected(status)
	}
	return err
}

// Watch waits up to hold for changes under a prefix after a revision.
func (c *Client) Watch(ctx context.Context, prefix string, after protocol.Revision, hold time.Duration) (protocol.WatchReply, error) {
	var ev protocol.WatchReply
	q := url.Values{"prefix": {prefix}, "after": {fmt.Sprint(after)}, "holdMs": {fmt.Sprint(hold.Milliseconds())}}
	status, err := c.call(ctx, hold+tuning.WatchGrace, http.MethodGet, "/follow?"+q.Encode(), nil, map[int]any{200: &ev})
	switch {
	case err != nil:
		return ev, err
	case status == 410:
		return ev, ErrCompacted
	case status != 200:
		return ev, unexpected(status)
	}
	return ev, nil
}
