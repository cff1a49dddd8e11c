package kvstore_test

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"testing"

	"marblehaven/internal/codec"
	"marblehaven/internal/config"
	"marblehaven/internal/httpclient"
	"marblehaven/internal/kvstore"
	"marblehaven/internal/protocol"
)

// pageTransport is a transport that answers a list request with a page computed from the
// last key of the page before.
type pageTransport func(after string) protocol.KeyValuePage

// TestListAll checks that a list of several pages that ends early, repeats a page or goes
// back to earlier keys is an error: records that are missing in a list would be taken for
// closed jobs, and their segments would be deleted.
func TestListAll(t *testing.T) {
	entries := func(keys ...string) (out []protocol.KeyValue) {
		for _, key := range keys {
			out = append(out, protocol.KeyValue{Key: key, Version: 1})
		}
		return out
	}
	for _, test := range []struct {
		name  string
		pages pageTransport
		want  int // number of entries; -1: an error
	}{
		{"one page", func(string) protocol.KeyValuePage {
			return protocol.KeyValuePage{Entries: entries("a", "b"), Revision: 5}
		}, 2},
		{"none", func(string) protocol.KeyValuePage { return protocol.KeyValuePage{Revision: 5} }, 0},
		{"two pages", func(after string) protocol.KeyValuePage {
			if after == "b" {
				return protocol.KeyValuePage{Entries: entries("c"), Revision: 6}
			}
			return protocol.KeyValuePage{Entries: entries("a", "b"), More: true, Revision: 5}
		}, 3},
		{"an empty page before the end", func(after string) protocol.KeyValuePage {
			if after == "b" {
				return protocol.KeyValuePage{More: true, Revision: 6}
			}
			return protocol.KeyValuePage{Entries: entries("a", "b"), More: true, Revision: 5}
		}, -1},
		{"the same page again", func(string) protocol.KeyValuePage {
			return protocol.KeyValuePage{Entries: entries("a", "b"), More: true, Revision: 5}
		}, -1},
		{"out of order", func(string) protocol.KeyValuePage {
			return protocol.KeyValuePage{Entries: entries("b", "a"), Revision: 5}
		}, -1},
	} {
		all, err := kvstore.New("state:1", test.pages, httpclient.NewMalformedLog(slog.New(slog.DiscardHandler)), config.State{}).ListAll(t.Context(), "")
		if (err != nil) != (test.want < 0) || (err == nil && (len(all.Entries) != test.want || all.Revision != 5)) {
			t.Errorf("%s: got %d entries at revision %d, error %v", test.name, len(all.Entries), all.Revision, err)
		}
	}
}

func (p pageTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := codec.Marshal(p(r.URL.Query().Get("after")))
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body))}, nil
}
