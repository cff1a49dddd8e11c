package cloud

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

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
