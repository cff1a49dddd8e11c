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

// Watch waits for at most hold until a key with a prefix changes after a revision, and
// returns the changes. The error wraps ErrCompacted if the store no longer keeps all of
// them; the caller must then list the keys again.
func (c *Client) Watch(ctx context.Context, prefix string, after protocol.Revision, hold time.Duration) (protocol.WatchReply, error) {
	query := url.Values{
		"prefix": {prefix},
		"after":  {fmt.Sprint(after)},
		"holdMs": {fmt.Sprint(hold.Milliseconds())},
	}
	var reply protocol.WatchReply
	err := c.do(ctx, call{
		operation:    OperationWatch,
		target:       prefix,
		timeout:      hold + tuning.WatchGrace,
		method:       http.MethodGet,
		path:         "/follow?" + query.Encode(),
		responses:    map[int]any{http.StatusOK: &reply},
		statusErrors: map[int]error{http.StatusGone: ErrCompacted},
	})
	return reply, err
}
