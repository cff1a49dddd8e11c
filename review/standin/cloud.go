//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
)

// Limits of the cloud: calls a second, the lag of its list in seconds, the machines in one
// request and the names in one return.
const (
	cloudRPS    = 6.0
	listLagS    = 10.0
	rentalMax   = 50
	returnMax   = 100
	trueNoPlace = "no capacity"
)

// cloud is a small stand-in of the cloud, after its section of the protocol page.
type cloud struct {
	w       *world
	limiter *rate.Limiter

	mu       sync.Mutex
	byClaim  map[string][]string
	machines map[string]*machine // rented and not returned
	next     int
	returned func(by *node, names []string) // called before machines are returned; may be nil
}

// machine is a rented machine.
type machine struct {
	name      string
	kind      protocol.MachineType
	zone      string
	spot      bool
	requested time.Time
	worker    *worker
}

func newCloud(w *world) *cloud {
	return &cloud{w: w, limiter: rate.NewLimiter(cloudRPS, 2*cloudRPS), byClaim: map[string][]string{}, machines: map[string]*machine{}}
}

// handlerFor is the cloud as one controller reaches it.
func (c *cloud) handlerFor(n *node) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		time.Sleep(cloudLatency)
		if !c.limiter.Allow() {
			reply(rw, http.StatusTooManyRequests, nil)
			return
		}
		switch {
		case r.URL.Path == "/catalog":
			reply(rw, http.StatusOK, protocol.Catalog{Types: c.w.set.types})
		case r.URL.Path == "/rentals" && r.Method == http.MethodPost:
			c.rent(rw, n, body)
		case r.URL.Path == "/rentals/return":
			c.takeBack(rw, n, body)
		case r.URL.Path == "/rentals":
			c.list(rw, r, n)
		default:
			reply(rw, http.StatusNotFound, nil)
		}
	})
}

func (c *cloud) rent(rw http.ResponseWriter, n *node, body []byte) {
	var request protocol.ProvisionRequest
	if codec.Unmarshal(body, &request) != nil || request.Count < 1 || request.Count > rentalMax {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	names, repeated := c.byClaim[request.RequestID]
	if !repeated {
		names = c.rentNew(&request)
		if len(names) == 0 {
			c.w.rec.add("cloud", "%s asks for %d %s: no capacity", n.name, request.Count, request.Type)
			reply(rw, http.StatusServiceUnavailable, protocol.ErrorReply{Error: trueNoPlace})
			return
		}
		c.byClaim[request.RequestID] = names
	}
	c.w.rec.add("cloud", "%s rents %d %s with claim %s: %v", n.name, request.Count, request.Type, request.RequestID, names)
	reply(rw, http.StatusOK, protocol.MachineIDs{IDs: names})
}

// rentNew rents as many machines as are asked for and available.
func (c *cloud) rentNew(request *protocol.ProvisionRequest) (names []string) {
	i := slices.IndexFunc(c.w.set.types, func(t protocol.MachineType) bool { return t.Name == request.Type })
	if i < 0 {
		return nil
	}
	free := rentalMax
	if limit, limited := c.w.set.capacity[request.Zone]; limited {
		free = limit
		for _, rented := range c.machines {
			if rented.zone == request.Zone {
				free--
			}
		}
	}
	for range min(request.Count, max(0, free)) {
		m := &machine{name: fmt.Sprintf("m-%06d", c.next), kind: c.w.set.types[i], zone: request.Zone, spot: request.Spot, requested: time.Now()}
		bootS := c.w.set.bootS(c.next)
		c.next++
		m.worker = newWorker(c.w, m)
		c.machines[m.name] = m
		time.AfterFunc(time.Duration(bootS*float64(time.Second)), m.worker.begin)
		names = append(names, m.name)
	}
	return names
}

// onReturn sets a function that is called before machines are returned.
func (c *cloud) onReturn(returned func(by *node, names []string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.returned = returned
}

// rented counts the machines that are rented.
func (c *cloud) rented() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.machines)
}

func (c *cloud) takeBack(rw http.ResponseWriter, n *node, body []byte) {
	var request protocol.MachineIDs
	if codec.Unmarshal(body, &request) != nil || len(request.IDs) > returnMax {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.w.rec.add("cloud", "%s returns %v", n.name, request.IDs)
	if c.returned != nil {
		c.returned(n, request.IDs)
	}
	for _, name := range request.IDs {
		if m := c.machines[name]; m != nil {
			m.worker.remove()
			delete(c.machines, name)
		}
	}
	reply(rw, http.StatusOK, map[string]any{})
}

// list answers with a page of the machines that were rented longer ago than the lag.
func (c *cloud) list(rw http.ResponseWriter, r *http.Request, n *node) {
	after := r.URL.Query().Get("after")
	most, err := strconv.Atoi(r.URL.Query().Get("most"))
	if err != nil {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list := protocol.MachineList{Machines: []protocol.ListedMachine{}}
	for _, m := range c.machines {
		age := time.Since(m.requested).Seconds()
		if age < listLagS || m.name <= after {
			continue
		}
		list.Machines = append(list.Machines, protocol.ListedMachine{ID: m.name, Addr: m.worker.addressFor(n), Type: m.kind.Name,
			Zone: m.zone, Spot: m.spot, State: m.worker.phase(), AgeS: age - listLagS})
	}
	slices.SortFunc(list.Machines, func(a, b protocol.ListedMachine) int { return strings.Compare(a.ID, b.ID) })
	if len(list.Machines) > most {
		list.Machines, list.More = list.Machines[:most], true
	}
	reply(rw, http.StatusOK, list)
}

// reply writes a status and a body as MessagePack.
func reply(rw http.ResponseWriter, status int, body any) {
	if body == nil {
		rw.WriteHeader(status)
		return
	}
	encoded, err := codec.Marshal(body)
	if err != nil {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/msgpack")
	rw.WriteHeader(status)
	rw.Write(encoded)
}
