//go:build review2

package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
)

// cloudFor returns the cloud as one controller reaches it.
func (w *world) cloudFor(c *controller) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case request.URL.Path == "/catalog":
			answer(response, http.StatusOK, protocol.Catalog{Types: w.site.types})
		case request.URL.Path == "/rentals/return":
			w.returnMachines(response, c, body)
		case request.Method == http.MethodPost:
			w.rent(response, c, body)
		default:
			w.list(response, request)
		}
	})
}

// rent answers a rental request. A repeated claim gets the same answer.
func (w *world) rent(response http.ResponseWriter, c *controller, body []byte) {
	var request protocol.ProvisionRequest
	if codec.Unmarshal(body, &request) != nil {
		answer(response, http.StatusBadRequest, nil)
		return
	}
	ids, known := w.claims[request.RequestID]
	if !known {
		pool := request.Type + "/" + request.Zone
		count := min(request.Count, w.site.capacity[pool])
		if count == 0 || request.Spot {
			answer(response, http.StatusServiceUnavailable, protocol.ErrorReply{Error: "no capacity"})
			return
		}
		w.site.capacity[pool] -= count
		for range count {
			ids = append(ids, w.newMachine(&request).id)
		}
		w.claims[request.RequestID] = ids
	}
	w.record.add("cloud: %s rents %s for claim %s", c.name, strings.Join(ids, " "), request.RequestID)
	answer(response, http.StatusOK, protocol.MachineIDs{IDs: ids})
}

// returnMachines takes machines back: they and everything on them are gone at once.
func (w *world) returnMachines(response http.ResponseWriter, c *controller, body []byte) {
	var request protocol.MachineIDs
	if codec.Unmarshal(body, &request) != nil || len(request.IDs) > 100 {
		answer(response, http.StatusBadRequest, nil)
		return
	}
	var lost []string
	for _, id := range request.IDs {
		m := w.machines[id]
		if m == nil || m.gone {
			continue
		}
		for _, t := range m.tasks {
			if t.onMachine() {
				lost = append(lost, t.name())
			}
		}
		m.gone, m.goneAt, m.tasks = true, time.Now(), nil
		w.site.capacity[m.typeName+"/"+m.zone]++
	}
	w.record.add("cloud: %s returns %s; tasks on them: %s", c.name, strings.Join(request.IDs, " "), strings.Join(lost, " "))
	answer(response, http.StatusOK, protocol.MachineIDs{})
}

// listLag is how old the list of machines is.
const listLag = 10 * time.Second

// list answers with a page of the list of machines as it was listLag ago.
func (w *world) list(response http.ResponseWriter, request *http.Request) {
	after := request.URL.Query().Get("after")
	most, _ := strconv.Atoi(request.URL.Query().Get("most"))
	asOf := time.Now().Add(-listLag)
	var names []string
	for id, m := range w.machines {
		if m.rentedAt.Before(asOf) && (!m.gone || m.goneAt.After(asOf)) && id > after {
			names = append(names, id)
		}
	}
	slices.Sort(names)
	page := protocol.MachineList{Machines: []protocol.ListedMachine{}}
	for _, id := range names {
		if len(page.Machines) == min(most, 500) {
			page.More = true
			break
		}
		m := w.machines[id]
		listed := protocol.ListedMachine{ID: id, Type: m.typeName, Zone: m.zone, State: protocol.MachineStarting, AgeS: asOf.Sub(m.rentedAt).Seconds()}
		if m.isUp && m.upAt.Before(asOf) {
			listed.State, listed.Addr = "running", m.addr
		}
		page.Machines = append(page.Machines, listed)
	}
	answer(response, http.StatusOK, page)
}

// newMachine adds a machine, which comes up after the boot time of the site.
func (w *world) newMachine(request *protocol.ProvisionRequest) *machine {
	m := &machine{world: w, id: fmt.Sprintf("m-%06d", len(w.machines)+1), typeName: request.Type, zone: request.Zone, rentedAt: time.Now()}
	for _, offered := range w.site.types {
		if offered.Name == request.Type {
			m.free = resources{offered.Cores, offered.GPUs, offered.MemGB}
			m.fetchGBps = offered.FetchGBps
		}
	}
	w.machines[m.id] = m
	go m.run()
	return m
}
