package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// Get reads a key. The error wraps ErrNotFound if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (protocol.KeyValue, error) {
	var entry protocol.KeyValue
	request := call{
		operation:    OperationRead,
		target:       key,
		timeout:      tuning.StoreTimeout,
		method:       http.MethodGet,
		path:         "/keys/" + key,
		responses:    map[int]any{http.StatusOK: &entry},
		statusErrors: map[int]error{http.StatusNotFound: ErrNotFound},
	}
	err := c.do(ctx, request)
	if err == nil && entry.Version == 0 {
		err = request.protocolError("answer without a version")
	}
	return entry, err
}

// List reads one page, of at most limit keys, of the keys with a prefix that sort after the
// key after. An empty after requests the first page.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (protocol.KeyValuePage, error) {
	query := url.Values{"prefix": {prefix}, "most": {fmt.Sprint(limit)}}
	if after != "" {
		query.Set("after", after)
	}
	var page protocol.KeyValuePage
	err := c.do(ctx, call{
		operation: OperationList,
		target:    prefix,
		timeout:   tuning.StoreTimeout,
		method:    http.MethodGet,
		path:      "/keys?" + query.Encode(),
		responses: map[int]any{http.StatusOK: &page},
	})
	return page, err
}

// ListAll reads all keys with a prefix. The revision is the first page's, so that a watch
// from this revision returns every change made while the other pages were read. A page that
// does not continue where the previous one ended is an error: a missing key would look like
// a record that does not exist.
func (c *Client) ListAll(ctx context.Context, prefix string) (protocol.KeyValuePage, error) {
	var all protocol.KeyValuePage
	for lastKey := ""; ; {
		page, err := c.List(ctx, prefix, lastKey, tuning.StorePageKeys)
		if err != nil {
			return protocol.KeyValuePage{}, err
		}
		if problem := pageProblem(page, lastKey); problem != "" {
			request := call{operation: OperationList, target: prefix}
			return protocol.KeyValuePage{}, request.protocolError(problem)
		}
		if lastKey == "" {
			all.Revision = page.Revision
		}
		all.Entries = append(all.Entries, page.Entries...)
		if !page.More {
			return all, nil
		}
		lastKey = page.Entries[len(page.Entries)-1].Key
	}
}

// pageProblem returns why a page does not continue a list that has been read up to lastKey,
// or "" if it does.
func pageProblem(page protocol.KeyValuePage, lastKey string) string {
	for _, entry := range page.Entries {
		if entry.Key <= lastKey {
			return fmt.Sprintf("key %q listed after %q", entry.Key, lastKey)
		}
		lastKey = entry.Key
	}
	if page.More && len(page.Entries) == 0 {
		return "empty page with more to come"
	}
	return ""
}
