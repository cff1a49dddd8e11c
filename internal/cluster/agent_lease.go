package cluster

import (
	"time"
)

// ExpireLease ends everything of a session whose lease is surely over.
func (m *Machine) ExpireLease(now time.Time) (ended []EndedPlacement) {
	if !now.After(m.LeaseExpiry) {
		return nil
	}
	for _, placement := range m.Placements {
		ended = append(ended, EndedPlacement{Placement: placement})
		m.ExpiredIncarnation = max(m.ExpiredIncarnation, placement.Incarnation)
	}
	m.ExpiredIncarnation = max(m.ExpiredIncarnation, m.Incarnation)
	return ended
}
