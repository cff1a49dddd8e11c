package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"marblehaven/internal/fake"
	"marblehaven/internal/protocol"
)

const (
	probeTimeout = time.Second     // a health check of the load balancer
	pollTimeout  = 2 * time.Second // a user's wait for the state of a job
	userTimeout  = 5 * time.Second // a user's wait for any other answer
)

// site holds the settings that differ between the cases.
type site struct {
	controllers int
	zones       []string
	teams       []map[string]any
	types       []protocol.MachineType
	capacity    map[string]int // machines that the cloud has, by type and zone, as "teapot/hsinchu"
	reportS     float64
	leaseS      float64
	cancelS     float64
	bootS       float64 // time in which a machine of the stand-in comes up
}

// world is everything around the controllers: the state service, the cloud, workers and users.
type world struct {
	site        site
	record      *record
	folder      string // temporary, for settings and logs
	command     []string
	client      *http.Client
	store       *fake.Store
	controllers []*controller

	mu       sync.Mutex // guards the rest
	machines map[string]*machine
	claims   map[string][]string
	returns  []returnCall
	jobs     map[string]*job
	twice    []string // tasks that started on one machine while they were on another
	// holders says which controller answered reports with a token of each term.
	holders map[protocol.Term]*controller
}

func newWorld(s site, recordPath string) (*world, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "second-review-")
	if err != nil {
		return nil, err
	}
	command, err := deployCommand()
	if err != nil {
		return nil, err
	}
	return &world{
		site: s, record: rec, folder: folder, command: command,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		store:    fake.NewStore(),
		machines: map[string]*machine{}, claims: map[string][]string{}, jobs: map[string]*job{}, holders: map[protocol.Term]*controller{},
	}, nil
}

// start starts the stand-ins and the controllers, and waits until all controllers are up.
func (w *world) start() error {
	for i := range w.site.controllers {
		if err := w.addController(i); err != nil {
			return err
		}
	}
	for _, c := range w.controllers {
		if err := w.linkPeers(c); err != nil {
			return err
		}
		if err := w.startController(c); err != nil {
			return err
		}
	}
	if !w.await(15*time.Second, func() bool {
		for _, c := range w.controllers {
			if !w.up(c) {
				return false
			}
		}
		return true
	}) {
		return fmt.Errorf("the controllers are not up within 15 s")
	}
	return nil
}

// addController prepares a controller: its addresses, and its own ways to the state service
// and to the cloud, so that these see who calls.
func (w *world) addController(number int) error {
	c := &controller{name: fmt.Sprintf("marble-%d", number), zone: w.site.zones[number%len(w.site.zones)]}
	var err error
	if c.api, err = freeAddress(); err != nil {
		return err
	}
	if c.peer, err = freeAddress(); err != nil {
		return err
	}
	if c.state, err = listenBehind(&c.cut, w.stateFor(c)); err != nil {
		return err
	}
	if c.cloud, err = listenBehind(&c.cut, w.cloudFor(c)); err != nil {
		return err
	}
	w.controllers = append(w.controllers, c)
	return nil
}

// linkPeers prepares the ways from a controller to the others.
func (w *world) linkPeers(c *controller) error {
	c.links = map[string]string{}
	for _, other := range w.controllers {
		if other == c {
			continue
		}
		address, err := forwardBehind(&c.cut, &other.cut, other.peer)
		if err != nil {
			return err
		}
		c.links[other.name] = address
	}
	return nil
}

// stateFor returns the state service as one controller reaches it.
func (w *world) stateFor(c *controller) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		request.RemoteAddr = c.name // the stand-in tells its clients apart by this field
		w.store.ServeHTTP(response, request)
	})
}

// end ends all processes and removes the temporary folder.
func (w *world) end() {
	for _, c := range w.controllers {
		w.kill(c)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs in", w.folder)
	}
}

// await waits until a condition holds, and reports whether it does within the limit.
func (w *world) await(limit time.Duration, condition func() bool) bool {
	for start := time.Now(); time.Since(start) < limit; time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
