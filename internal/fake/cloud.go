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

// maxProvisionCount and maxDeprovisionCount are how many machines one call may name.
const (
	maxProvisionCount   = 50
	maxDeprovisionCount = 100
)

// cloud provisions and removes machines.
type cloud struct {
	Calls     map[string]int         // calls of the cloud, by path
	LoseReply func(path string) bool // answers of the cloud that get lost
	CloudDown bool                   // it answers 503 "trouble"
	PageMost  int                    // machines in a page of the list at most; 0: as many as asked for

	env         *Environment
	types       map[string]protocol.MachineType
	capacity    map[string]int // per type, zone and kind; absent: plenty
	provisioned map[string][]string
	nextID      int
}

func newCloud(env *Environment, types []protocol.MachineType) *cloud {
	c := &cloud{
		Calls:       map[string]int{},
		env:         env,
		types:       map[string]protocol.MachineType{},
		capacity:    map[string]int{},
		provisioned: map[string][]string{},
	}
	for _, machineType := range types {
		c.types[machineType.Name] = machineType
	}
	return c
}

// Limit sets how many machines of a type, zone and kind there are.
func (c *cloud) Limit(machineType, zone string, spot bool, count int) {
	c.capacity[fmt.Sprint(machineType, zone, spot)] = count
}

// MachinesProvisioned is how many machines were ever rented.
func (c *cloud) MachinesProvisioned() int {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	return c.nextID
}

func (c *cloud) serveCloud(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	c.Calls[r.URL.Path]++
	if c.CloudDown {
		writeReply(w, http.StatusServiceUnavailable, protocol.ErrorReply{Error: "trouble"})
		return
	}
	status, reply := c.dispatchCloudCall(r, body)
	if c.LoseReply != nil && c.LoseReply(r.URL.Path) {
		status, reply = http.StatusBadGateway, nil
	}
	writeReply(w, status, reply)
}

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

// provision makes as many machines as are asked for and as the capacity allows. A
// repeated request gets the machines of the first.
func (c *cloud) provision(body []byte) (status int, reply any) {
	var request protocol.ProvisionRequest
	if codec.Unmarshal(body, &request) != nil || request.Count < 1 || request.Count > maxProvisionCount {
		return http.StatusBadRequest, nil
	}
	if machineIDs, ok := c.provisioned[request.RequestID]; ok {
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
	c.provisioned[request.RequestID] = machineIDs
	return http.StatusOK, protocol.MachineIDs{IDs: machineIDs}
}

// available is how many of the machines that a request asks for can be had.
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

// deprovision removes machines.
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

// listMachines lists the machines that are old enough to be in the list.
func (c *cloud) listMachines(query url.Values) protocol.MachineList {
	list := protocol.MachineList{Machines: []protocol.ListedMachine{}}
	for id, machine := range c.env.machines {
		age := time.Since(machine.provisionedAt).Seconds()
		if age <= c.env.Cfg.Cloud.ListLagS {
			continue
		}
		phase := protocol.MachineStarting
		if machine.up {
			phase = "running"
		}
		list.Machines = append(list.Machines, protocol.ListedMachine{ID: id, Addr: machine.addr, Type: machine.machineType.Name,
			Zone: machine.zone, Spot: machine.spot, State: phase, AgeS: age})
	}
	slices.SortFunc(list.Machines, func(a, b protocol.ListedMachine) int { return strings.Compare(a.ID, b.ID) })
	c.paginate(&list, query)
	return list
}

// paginate leaves the page of a list that was asked for.
func (c *cloud) paginate(list *protocol.MachineList, query url.Values) {
	after := query.Get("after")
	list.Machines = slices.DeleteFunc(list.Machines, func(m protocol.ListedMachine) bool { return m.ID <= after })
	limit, err := strconv.Atoi(query.Get("most"))
	if err != nil {
		limit = len(list.Machines)
	}
	if c.PageMost > 0 {
		limit = min(limit, c.PageMost)
	}
	if len(list.Machines) > limit {
		list.Machines, list.More = list.Machines[:limit], true
	}
}
