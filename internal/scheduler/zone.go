package scheduler

// zoneConstraint is the zone to which a search is limited.
type zoneConstraint string

// anyZone limits nothing.
const anyZone zoneConstraint = ""

// unknownZone counts tasks on machines whose zone is not known yet, as after a failover.
const unknownZone = ""

// allows tells whether a machine in the zone satisfies the constraint.
func (c zoneConstraint) allows(zone string) bool {
	return c == anyZone || string(c) == zone
}

// zoneConstraintFor is the constraint under which a machine in the zone counts for the
// job: tasks that must share a zone are counted zone by zone, others all together.
func zoneConstraintFor(job *Job, zone string) zoneConstraint {
	if job.Spec.OneZone {
		return zoneConstraint(zone)
	}
	return anyZone
}
