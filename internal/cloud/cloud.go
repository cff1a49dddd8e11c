// Package cloud speaks to the machine cloud within its budget of calls.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"

	"golang.org/x/time/rate"

	"marblehaven/internal/httpclient"
	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

var (
	// ErrNoCapacity: nothing of this type, zone and kind is to be had now.
	ErrNoCapacity = errors.New("cloud: no capacity")
	// ErrInvalidRequest: the cloud refused the request as malformed.
	ErrInvalidRequest = errors.New("cloud: malformed request")
	// ErrUnavailable: no usable answer; the request may be executed later.
	ErrUnavailable = errors.New("cloud: unavailable")
)

// Client is a client of the cloud. It is safe for concurrent use.
type Client struct {
	base    string
	http    httpclient.Client
	limiter *rate.Limiter
}

// New makes a client that makes at most rps calls a second.
func New(addr string, rt http.RoundTripper, cs *httpclient.MalformedLog, rps float64) *Client {
	return &Client{base: "http://" + addr, http: httpclient.Client{HTTP: &http.Client{Transport: rt}, Malformed: cs}, limiter: rate.NewLimiter(rate.Limit(rps), int(math.Max(1, rps*tuning.CloudBurst)))}
}

func (c *Client) call(ctx context.Context, method, path string, in any, out map[int]any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.CloudTimeout)
	defer cancel()
	err := c.http.Do(ctx, httpclient.Request{Method: method, URL: c.base + path, Body: in, Responses: out})
	switch {
	case httpclient.HasStatus(err, http.StatusBadRequest):
		return ErrInvalidRequest
	case err != nil:
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return nil
}

// Catalog reads machine types and current prices. Types that make no sense are
// left out.
func (c *Client) Catalog(ctx context.Context) ([]protocol.MachineType, error) {
	var cat protocol.Catalog
	if err := c.call(ctx, http.MethodGet, "/catalog", nil, map[int]any{200: &cat}); err != nil {
		return nil, err
	}
	var ok []protocol.MachineType
	for _, t := range cat.Types {
		if t.Name != "" && t.Cores >= 0 && t.MemGB >= 0 && t.Price > 0 && t.BootS >= 0 && len(t.Zones) > 0 {
			ok = append(ok, t)
		}
	}
	if len(ok) == 0 {
		return nil, fmt.Errorf("%w: empty catalog", ErrUnavailable)
	}
	return ok, nil
}

// Provision asks for machines under a claim. Repeating it is safe.
func (c *Client) Provision(ctx context.Context, r protocol.ProvisionRequest) ([]string, error) {
	var hosts protocol.MachineIDs
	var refusal protocol.ErrorReply
	err := c.call(ctx, http.MethodPost, "/rentals", r, map[int]any{200: &hosts, 503: &refusal})
	if err != nil && refusal.Error == "no capacity" {
		return nil, ErrNoCapacity
	}
	return hosts.IDs, err
}

// Deprovision gives machines back; on success they and all on them are gone.
func (c *Client) Deprovision(ctx context.Context, hosts []string) error {
	return c.call(ctx, http.MethodPost, "/rentals/return", protocol.MachineIDs{IDs: hosts}, nil)
}

// ListMachines reads all machines. A page that leads no further although there is more is an
// error, so that no part of the list is taken for the whole.
func (c *Client) ListMachines(ctx context.Context) ([]protocol.ListedMachine, error) {
	var all []protocol.ListedMachine
	for last := ""; ; {
		q := url.Values{"most": {fmt.Sprint(tuning.ListMax)}}
		if last != "" {
			q.Set("after", last)
		}
		var page protocol.MachineList
		if err := c.call(ctx, http.MethodGet, "/rentals?"+q.Encode(), nil, map[int]any{200: &page}); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More {
			return all, nil
		}
		if len(page.Machines) == 0 {
			return nil, fmt.Errorf("%w: empty page with more to come", ErrUnavailable)
		}
		next := page.Machines[len(page.Machines)-1].ID
		if next == last {
			return nil, fmt.Errorf("%w: the page after %q comes again", ErrUnavailable, last)
		}
		last = next
	}
}
