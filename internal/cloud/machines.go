package cloud

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// reasonNoCapacity is the cloud's reason for not provisioning any machine.
const reasonNoCapacity = "no capacity"

// Provision asks for machines, and returns the IDs of those it got. Repeating a request
// with the same ID is safe: it is executed once. The error wraps ErrNoCapacity if no
// machine is to be had.
func (c *Client) Provision(ctx context.Context, request protocol.ProvisionRequest) ([]string, error) {
	var machines protocol.MachineIDs
	var rejection protocol.ErrorReply
	provision := call{
		operation: OperationProvision,
		target:    request.RequestID,
		method:    http.MethodPost,
		path:      "/rentals",
		body:      request,
		responses: map[int]any{
			http.StatusOK:                 &machines,
			http.StatusServiceUnavailable: &rejection,
		},
	}
	err := c.do(ctx, provision)
	if err != nil && rejection.Error == reasonNoCapacity {
		return nil, provision.operationError(ErrNoCapacity)
	}
	return machines.IDs, err
}

// Deprovision gives machines back. On success the machines and all tasks on them are gone.
func (c *Client) Deprovision(ctx context.Context, machineIDs []string) error {
	return c.do(ctx, call{
		operation: OperationDeprovision,
		target:    summarizeMachineIDs(machineIDs),
		method:    http.MethodPost,
		path:      "/rentals/return",
		body:      protocol.MachineIDs{IDs: machineIDs},
	})
}

// summarizeMachineIDs names the first of some machines, and how many more there are.
func summarizeMachineIDs(machineIDs []string) string {
	switch others := len(machineIDs) - 1; {
	case others < 0:
		return "no machine"
	case others > 0:
		return fmt.Sprintf("%s and %d more", machineIDs[0], others)
	}
	return machineIDs[0]
}

// ListMachines reads all machines, in as many pages as it takes. A page that does not lead
// any further although there is more is an error, so that no part of the list is taken for
// the whole.
func (c *Client) ListMachines(ctx context.Context) ([]protocol.ListedMachine, error) {
	var all []protocol.ListedMachine
	for lastID := ""; ; {
		page, err := c.listPage(ctx, lastID)
		if err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More {
			return all, nil
		}
		lastID = page.Machines[len(page.Machines)-1].ID
	}
}

// listPage reads the page of the list of machines after an ID; an empty ID asks for the
// first page. A page that is not the last one leads to another ID.
func (c *Client) listPage(ctx context.Context, after string) (protocol.MachineList, error) {
	query := url.Values{"most": {fmt.Sprint(tuning.ListMax)}}
	if after != "" {
		query.Set("after", after)
	}
	var page protocol.MachineList
	request := call{
		operation: OperationList,
		target:    after,
		method:    http.MethodGet,
		path:      "/rentals?" + query.Encode(),
		responses: map[int]any{http.StatusOK: &page},
	}
	if err := c.do(ctx, request); err != nil || !page.More {
		return page, err
	}
	switch count := len(page.Machines); {
	case count == 0:
		return page, request.protocolError("empty page with more to come")
	case page.Machines[count-1].ID == after:
		return page, request.protocolError("the same page again")
	}
	return page, nil
}
