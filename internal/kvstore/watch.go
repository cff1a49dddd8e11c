package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

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
