package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

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
