package cloud

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"marblehaven/internal/protocol"
	"marblehaven/internal/tuning"
)

// reasonNoCapacity is the reason in the cloud's response if no machine is available.
const reasonNoCapacity = "no capacity"

// Provision requests machines, and returns the IDs of those that the cloud provisions. It is
// safe to repeat a request with the same ID: the cloud executes it once. The error wraps
// ErrNoCapacity if no machine is available.
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

// Deprovision returns machines to the cloud. After a nil error the machines are removed,
// and no task runs on them any more.
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

// ListMachines reads the whole list of machines, page by page. A page that does not advance
// the list although another one follows is an error, so that part of the list is never taken
// for the whole.
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

// listPage reads the page of the list of machines after an ID; an empty ID requests the
// first page. A page that is not the last one and does not end with another ID is an error.
func (c *Client) listPage(ctx context.Context, after string) (protocol.MachineList, error) {
	query := url.Values{"most": {fmt.Sprint(tuning.MachineListPageSize)}}
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
