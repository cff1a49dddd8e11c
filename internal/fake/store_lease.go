package fake

import (
	"net/http"
	"strconv"
	"time"

	"marblehaven/internal/codec"
	"marblehaven/internal/protocol"
)

// storeLease is a lease, which its client keeps alive. The keys bound to the lease end with it.
type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// expireLeases ends the leases that have expired, and deletes the keys bound to them. No lease
// expires during an outage for all hosts, because no keep-alive could arrive.
func (s *Store) expireLeases() {
	if s.unavailableHosts[""] {
		return
	}
	for id, lease := range s.leases {
		if time.Now().After(lease.expires) {
			s.endLease(id)
		}
	}
}

// endLease deletes a lease and the keys that are bound to it.
func (s *Store) endLease(id protocol.LeaseID) {
	delete(s.leases, id)
	for key, entry := range s.keys {
		if entry.lease == id {
			s.revision++
			s.deleteKey(key)
		}
	}
	s.wakeWatches()
}

// expireLeaseOnTime periodically ends expired leases until the given lease has ended, so that a
// lease expires on time even if no call arrives.
func (s *Store) expireLeaseOnTime(id protocol.LeaseID, ttl time.Duration) {
	for {
		time.Sleep(ttl / 10)
		s.mu.Lock()
		s.expireLeases()
		_, ok := s.leases[id]
		s.mu.Unlock()
		if !ok {
			return
		}
	}
}

// parseLeaseID reads a lease ID from a path. An invalid ID becomes 0, which no lease has.
func parseLeaseID(text string) protocol.LeaseID {
	number, _ := strconv.ParseUint(text, 10, 64)
	return protocol.LeaseID(number)
}

// grantLease answers with a new lease.
func (s *Store) grantLease(w http.ResponseWriter, body []byte) {
	var request protocol.LeaseRequest
	if err := codec.Unmarshal(body, &request); err != nil {
		panic(err)
	}
	s.nextID++
	id := s.nextID
	ttl := time.Duration(request.TTLMS) * time.Millisecond
	s.leases[id] = &storeLease{ttl, time.Now().Add(ttl)}
	go s.expireLeaseOnTime(id, ttl)
	writeReply(w, http.StatusOK, protocol.Lease{ID: id})
}

// keepLeaseAlive gives a lease its full time to live again, unless it has expired.
func (s *Store) keepLeaseAlive(w http.ResponseWriter, id protocol.LeaseID) {
	lease := s.leases[id]
	if lease == nil {
		writeReply(w, http.StatusNotFound, nil)
		return
	}
	lease.expires = time.Now().Add(lease.ttl)
	writeReply(w, http.StatusOK, protocol.Lease{ID: id})
}

// revokeLease ends a lease before it expires.
func (s *Store) revokeLease(w http.ResponseWriter, id protocol.LeaseID) {
	if s.leases[id] != nil {
		s.endLease(id)
	}
	writeReply(w, http.StatusOK, nil)
}
