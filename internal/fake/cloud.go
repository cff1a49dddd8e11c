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

// Limit sets how many machines of a type, zone and kind there are.
func (e *Environment) Limit(typ, zone string, spot bool, n int) {
	e.capacity[fmt.Sprint(typ, zone, spot)] = n
}

// MachinesProvisioned is how many machines were ever rented.
func (e *Environment) MachinesProvisioned() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.nextID
}

// Kill takes a machine away without a word.
func (e *Environment) Kill(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.remove(id)
}

func (e *Environment) remove(id string) {
	if machine := e.machines[id]; machine != nil {
		machine.markRemoved()
		delete(e.machines, id)
		e.Network.Listen(id, machine.addr, nil)
		e.updateGangs()
	}
}

// NoticePreemption announces that a machine will be taken.
func (e *Environment) NoticePreemption(id string, in time.Duration) {
	e.mu.Lock()
	machine := e.machines[id]
	machine.preemptionAt = time.Now().Add(in)
	machine.markStatusChanged()
	e.mu.Unlock()
	go func() {
		time.Sleep(in)
		e.Kill(id)
	}()
}

func (e *Environment) serveCloud(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Calls[r.URL.Path]++
	if e.CloudDown {
		writeReply(w, 503, protocol.ErrorReply{Error: "trouble"})
		return
	}
	status, v := e.dispatchCloudCall(r, body)
	if e.LoseReply != nil && e.LoseReply(r.URL.Path) {
		status, v = 502, nil
	}
	writeReply(w, status, v)
}

func (e *Environment) dispatchCloudCall(r *http.Request, body []byte) (int, any) {
	switch {
	case r.URL.Path == "/catalog":
		var c protocol.Catalog
		for _, t := range e.types {
			c.Types = append(c.Types, t)
		}
		slices.SortFunc(c.Types, func(a, b protocol.MachineType) int { return strings.Compare(a.Name, b.Name) })
		return 200, c
	case r.URL.Path == "/rentals" && r.Method == http.MethodPost:
		var req protocol.ProvisionRequest
		if codec.Unmarshal(body, &req) != nil || req.Count < 1 || req.Count > 50 {
			return 400, nil
		}
		if machineIDs, ok := e.provisioned[req.RequestID]; ok {
			return 200, protocol.MachineIDs{IDs: machineIDs}
		}
		n := req.Count
		if limit, ok := e.capacity[fmt.Sprint(req.Type, req.Zone, req.Spot)]; ok {
			for _, machine := range e.machines {
				if machine.machineType.Name == req.Type && machine.zone == req.Zone && machine.spot == req.Spot {
					limit--
				}
			}
			n = min(n, limit)
		}
		if n <= 0 {
			return 503, protocol.ErrorReply{Error: "no capacity"}
		}
		var machineIDs []string
		for range n {
			machineIDs = append(machineIDs, e.newMachine(req.Type, req.Zone, req.Spot))
		}
		e.provisioned[req.RequestID] = machineIDs
		return 200, protocol.MachineIDs{IDs: machineIDs}
	case r.URL.Path == "/rentals/return":
		var h protocol.MachineIDs
		if codec.Unmarshal(body, &h) != nil || len(h.IDs) > 100 {
			return 400, nil
		}
		for _, id := range h.IDs {
			e.remove(id)
		}
		return 200, nil
	case r.URL.Path == "/rentals":
		list := protocol.MachineList{Machines: []protocol.ListedMachine{}}
		for id, machine := range e.machines {
			if age := time.Since(machine.provisionedAt).Seconds(); age > e.Cfg.Cloud.ListLagS {
				phase := protocol.MachineStarting
				if machine.up {
					phase = "running"
				}
				list.Machines = append(list.Machines, protocol.ListedMachine{ID: id, Addr: machine.addr, Type: machine.machineType.Name,
					Zone: machine.zone, Spot: machine.spot, State: phase, AgeS: age})
			}
		}
		slices.SortFunc(list.Machines, func(a, b protocol.ListedMachine) int { return strings.Compare(a.ID, b.ID) })
		e.paginate(&list, r.URL.Query())
		return 200, list
	}
	return 404, nil
}

// paginate leaves the page of a list that was asked for.
func (e *Environment) paginate(list *protocol.MachineList, query url.Values) {
	after := query.Get("after")
	list.Machines = slices.DeleteFunc(list.Machines, func(m protocol.ListedMachine) bool { return m.ID <= after })
	most, err := strconv.Atoi(query.Get("most"))
	if err != nil {
		most = len(list.Machines)
	}
	if e.PageMost > 0 {
		most = min(most, e.PageMost)
	}
	if len(list.Machines) > most {
		list.Machines, list.More = list.Machines[:most], true
	}
}
