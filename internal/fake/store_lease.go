package fake

import (
	"time"

	"marblehaven/internal/protocol"
)

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// expireLeases ends leases that are over; nothing expires while nobody is served.
func (s *Store) expireLeases() {
	if s.unavailable[""] {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id protocol.LeaseID) {
	delete(s.leases, id)
	for k, e := range s.keys {
		if e.lease == id {
			s.revision++
			s.deleteKey(k)
		}
	}
	s.wakeWatches()
}

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
