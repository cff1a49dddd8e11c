package scheduler

// zoneConstraint is the zone to which a search is limited, or anyZone.
type zoneConstraint string

// anyZone is the constraint that allows every zone.
const anyZone zoneConstraint = ""

// unknownZone is the key under which tasks are counted if the zone of their machine is not
// known yet, as after a failover.
const unknownZone = ""

// allows reports whether a machine in the zone satisfies the constraint.
func (c zoneConstraint) allows(zone string) bool {
	return c == anyZone || string(c) == zone
}

// zoneConstraintFor returns the constraint under which a machine in the zone is counted
// for the job: zone by zone for tasks that must share a zone, all zones together for
// others.
func zoneConstraintFor(job *Job, zone string) zoneConstraint {
	if job.Spec.OneZone {
		return zoneConstraint(zone)
	}
	return anyZone
}
