//go:build review2

package main

import (
	"errors"
	"fmt"
	"net"
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
	reserved    []net.Listener // ports that the controllers are to have

	mu       sync.Mutex // guards the rest
	machines map[string]*machine
	claims   map[string][]string
	jobs     map[string]*job
	twice    []string // tasks that started on one machine while they were on another
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
		machines: map[string]*machine{}, claims: map[string][]string{}, jobs: map[string]*job{},
	}, nil
}

// startAttempts is how often the controllers are started at most: another program may take one of
// their ports before they do.
const startAttempts = 3

// start starts the stand-ins and the controllers, and waits until all controllers are up.
func (w *world) start() error {
	for range startAttempts {
		if err := w.startAll(); err != nil {
			return err
		}
		if w.await(5*time.Second, w.allUp) {
			return nil
		}
		w.record.add("the controllers are not up, they are started again with other ports")
		for _, c := range w.controllers {
			w.kill(c)
		}
		w.controllers = nil
	}
	return errors.New("the controllers are not up")
}

// startAll prepares the addresses of all controllers and starts them. Their ports are reserved
// until then.
func (w *world) startAll() error {
	for i := range w.site.controllers {
		if err := w.addController(i); err != nil {
			return err
		}
	}
	for _, reserved := range w.reserved {
		_ = reserved.Close()
	}
	w.reserved = nil
	for _, c := range w.controllers {
		if err := w.startController(c); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) allUp() bool {
	for _, c := range w.controllers {
		if !w.up(c) {
			return false
		}
	}
	return true
}

// addController prepares a controller: its addresses, and its own ways to the state service
// and to the cloud, so that these see who calls.
func (w *world) addController(number int) error {
	c := &controller{name: fmt.Sprintf("marble-%d", number), zone: w.site.zones[number%len(w.site.zones)]}
	var err error
	if c.api, err = w.reserveAddress(); err != nil {
		return err
	}
	if c.peer, err = w.reserveAddress(); err != nil {
		return err
	}
	if c.state, err = listen(w.stateFor(c)); err != nil {
		return err
	}
	if c.cloud, err = listen(w.cloudFor(c)); err != nil {
		return err
	}
	w.controllers = append(w.controllers, c)
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

// reserveAddress returns a loopback address with a free port, which is reserved until the
// controllers start.
func (w *world) reserveAddress() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	w.reserved = append(w.reserved, listener)
	return listener.Addr().String(), nil
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
