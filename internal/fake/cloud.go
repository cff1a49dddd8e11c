package fake

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
)

// maxProvisionCount and maxDeprovisionCount limit the machines that one call may add or remove.
const (
	maxProvisionCount   = 50
	maxDeprovisionCount = 100
)

// machineRunning is the state of a listed machine that is up.
const machineRunning protocol.MachineState = "running"

// cloud simulates the cloud's HTTP interface: it provisions machines within the capacity that a
// test sets, removes them, and lists new ones only after a lag, as the protocol allows.
type cloud struct {
	env               *Environment
	calls             map[string]int                    // number of calls by path
	loseReply         func(path string, calls int) bool // reports whether a call's answer is lost
	down              bool                              // every call gets 503 "trouble"
	maxPageSize       int                               // most machines in a page of the list; 0: as many as requested
	types             map[string]protocol.MachineType
	capacity          map[string]int      // by type, zone and spot; absent: unlimited
	machinesByRequest map[string][]string // machine IDs by request ID
	nextID            int
}

// newCloud returns a cloud with unlimited capacity for each machine type.
func newCloud(env *Environment, types []protocol.MachineType) *cloud {
	c := &cloud{
		env:               env,
		calls:             map[string]int{},
		types:             map[string]protocol.MachineType{},
		capacity:          map[string]int{},
		machinesByRequest: map[string][]string{},
	}
	for _, machineType := range types {
		c.types[machineType.Name] = machineType
	}
	return c
}

// LimitCapacity sets the capacity of a pool: how many machines of a type in a zone, spot
// instances or not, there may be at a time.
func (c *cloud) LimitCapacity(machineType, zone string, spot bool, count int) {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	c.capacity[fmt.Sprint(machineType, zone, spot)] = count
}

// SetCloudDown makes the cloud answer every call with 503, until it is called again with false.
func (c *cloud) SetCloudDown(down bool) {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	c.down = down
}

// SetLoseCloudReply sets a function that selects the calls whose answers are lost, by their path
// and the number of calls on that path so far. The function is called with the environment's
// mutex held.
func (c *cloud) SetLoseCloudReply(loseReply func(path string, calls int) bool) {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	c.loseReply = loseReply
}

// SetCloudMaxPageSize sets how many machines a page of the list holds at most; 0: as many as
// requested.
func (c *cloud) SetCloudMaxPageSize(size int) {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	c.maxPageSize = size
}

// MachinesProvisioned returns how many machines were ever provisioned.
func (c *cloud) MachinesProvisioned() int {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	return c.nextID
}

// serveCloud answers a call. If the hook loseReply selects the call, the call is carried out and
// its answer is lost.
func (c *cloud) serveCloud(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	c.calls[r.URL.Path]++
	if c.down {
		writeReply(w, http.StatusServiceUnavailable, protocol.ErrorReply{Error: "trouble"})
		return
	}
	status, reply := c.dispatchCloudCall(r, body)
	if c.loseReply != nil && c.loseReply(r.URL.Path, c.calls[r.URL.Path]) {
		status, reply = http.StatusBadGateway, nil
	}
	writeReply(w, status, reply)
}

// dispatchCloudCall carries out a call with the handler for its path and method.
func (c *cloud) dispatchCloudCall(r *http.Request, body []byte) (status int, reply any) {
	switch {
	case r.URL.Path == "/catalog":
		return http.StatusOK, c.catalog()
	case r.URL.Path == "/rentals" && r.Method == http.MethodPost:
		return c.provision(body)
	case r.URL.Path == "/rentals/return":
		return c.deprovision(body), nil
	case r.URL.Path == "/rentals":
		return http.StatusOK, c.listMachines(r.URL.Query())
	}
	return http.StatusNotFound, nil
}

// catalog lists the machine types by name.
func (c *cloud) catalog() protocol.Catalog {
	var catalog protocol.Catalog
	for _, machineType := range c.types {
		catalog.Types = append(catalog.Types, machineType)
	}
	slices.SortFunc(catalog.Types, func(a, b protocol.MachineType) int { return strings.Compare(a.Name, b.Name) })
	return catalog
}

// provision adds as many machines as a request asks for and the capacity allows. Requests are
// idempotent: a repeated request gets the machines of the first.
func (c *cloud) provision(body []byte) (status int, reply any) {
	var request protocol.ProvisionRequest
	if codec.Unmarshal(body, &request) != nil || request.Count < 1 || request.Count > maxProvisionCount {
		return http.StatusBadRequest, nil
	}
	if machineIDs, ok := c.machinesByRequest[request.RequestID]; ok {
		return http.StatusOK, protocol.MachineIDs{IDs: machineIDs}
	}
	count := c.available(&request)
	if count <= 0 {
		return http.StatusServiceUnavailable, protocol.ErrorReply{Error: "no capacity"}
	}
	var machineIDs []string
	for range count {
		machineIDs = append(machineIDs, c.env.newMachine(request.Type, request.Zone, request.Spot))
	}
	c.machinesByRequest[request.RequestID] = machineIDs
	return http.StatusOK, protocol.MachineIDs{IDs: machineIDs}
}

// available returns how many of the requested machines fit the remaining capacity of their pool.
func (c *cloud) available(request *protocol.ProvisionRequest) int {
	free, limited := c.capacity[fmt.Sprint(request.Type, request.Zone, request.Spot)]
	if !limited {
		return request.Count
	}
	for _, machine := range c.env.machines {
		if machine.machineType.Name == request.Type && machine.zone == request.Zone && machine.spot == request.Spot {
			free--
		}
	}
	return min(request.Count, free)
}

// deprovision removes machines. Unknown ones are ignored.
func (c *cloud) deprovision(body []byte) (status int) {
	var request protocol.MachineIDs
	if codec.Unmarshal(body, &request) != nil || len(request.IDs) > maxDeprovisionCount {
		return http.StatusBadRequest
	}
	for _, id := range request.IDs {
		c.env.remove(id)
	}
	return http.StatusOK
}

// listMachines lists the machines by ID. A new machine is listed only after the lag that the
// deployment declares.
func (c *cloud) listMachines(query url.Values) protocol.MachineList {
	list := protocol.MachineList{Machines: []protocol.ListedMachine{}}
	for id, machine := range c.env.machines {
		age := time.Since(machine.provisionedAt).Seconds()
		if age <= c.env.Cfg.Cloud.ListLagS {
			continue
		}
		state := protocol.MachineStarting
		if machine.up {
			state = machineRunning
		}
		list.Machines = append(list.Machines, protocol.ListedMachine{ID: id, Addr: machine.addr, Type: machine.machineType.Name,
			Zone: machine.zone, Spot: machine.spot, State: state, AgeS: age})
	}
	slices.SortFunc(list.Machines, func(a, b protocol.ListedMachine) int { return strings.Compare(a.ID, b.ID) })
	c.paginate(&list, query)
	return list
}

// paginate reduces a list to the page that the query asks for.
func (c *cloud) paginate(list *protocol.MachineList, query url.Values) {
	after := query.Get("after")
	list.Machines = slices.DeleteFunc(list.Machines, func(m protocol.ListedMachine) bool { return m.ID <= after })
	limit, err := strconv.Atoi(query.Get("most"))
	if err != nil {
		limit = len(list.Machines)
	}
	if c.maxPageSize > 0 {
		limit = min(limit, c.maxPageSize)
	}
	if len(list.Machines) > limit {
		list.Machines, list.More = list.Machines[:limit], true
	}
}
