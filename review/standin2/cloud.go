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

// returnCall is a request to return machines, as the cloud got it.
type returnCall struct {
	at   time.Time
	from string // the controller that sent it
	// holder is the controller that answers reports with the highest token that a worker has
	// seen.
	holder string
	// lost names the tasks that were on the machines.
	lost []string
	live int // machines that were up
}

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
	returned := returnCall{at: time.Now(), from: c.name, holder: w.holder()}
	for _, id := range request.IDs {
		m := w.machines[id]
		if m == nil || m.gone {
			continue
		}
		if m.isUp {
			returned.live++
		}
		for _, t := range m.tasks {
			if t.onMachine() {
				returned.lost = append(returned.lost, t.name())
			}
		}
		m.gone = true
		m.tasks = nil
		w.site.capacity[m.typeName+"/"+m.zone]++
	}
	slices.Sort(returned.lost)
	w.returns = append(w.returns, returned)
	w.record.add("cloud: %s returns %s; %s holds the highest token; up %d, tasks on them: %s", c.name, strings.Join(request.IDs, " "), returned.holder, returned.live, strings.Join(returned.lost, " "))
	answer(response, http.StatusOK, protocol.MachineIDs{})
}

// holder returns the controller that answers reports with the highest token that a worker has
// seen, or "" if it has answered none yet.
func (w *world) holder() string {
	var newest protocol.Term
	for _, m := range w.machines {
		newest = max(newest, m.baton.Term())
	}
	if c := w.holders[newest]; c != nil {
		return c.name
	}
	return ""
}

// list answers with a page of the list of machines.
func (w *world) list(response http.ResponseWriter, request *http.Request) {
	after := request.URL.Query().Get("after")
	most, _ := strconv.Atoi(request.URL.Query().Get("most"))
	var names []string
	for id, m := range w.machines {
		if !m.gone && id > after {
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
		phase := protocol.MachineState("running")
		if !m.isUp {
			phase = protocol.MachineStarting
		}
		page.Machines = append(page.Machines, protocol.ListedMachine{ID: id, Addr: m.addr, Type: m.typeName, Zone: m.zone,
			Spot: false, State: phase, AgeS: time.Since(m.rentedAt).Seconds()})
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
