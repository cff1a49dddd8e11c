package records

import (
	"strconv"
	"strings"

	"marblehaven/internal/protocol"
)

// Keys of single records, and prefixes of the keys of all others.
const (
	// KeyTerm holds the LeaderRecord of the newest term, and outlives its leader.
	KeyTerm = "term"
	// KeyLeader holds the same record as long as the leader renews its lease in the store.
	KeyLeader = "leader"
	// KeyCatalog holds the cloud's machine types, for controllers that cannot call the cloud.
	KeyCatalog = "catalog"
	// KeyClusterVersion holds the FormatVersion that the whole cluster uses.
	KeyClusterVersion = "version"
	// PrefixOpen begins the keys of open jobs and of their run records.
	PrefixOpen = "o/"
	// PrefixProvisioning begins the keys of provisioning requests.
	PrefixProvisioning = "r/"
	// PrefixImageInventory begins the keys of the parts of the image cache inventory.
	PrefixImageInventory = "h/"
	// PrefixNodeVersion begins the keys of the controllers' format versions.
	PrefixNodeVersion = "v/"
)

// OpenKey returns the key of the record of an open job.
func OpenKey(jobID protocol.JobID) string { return PrefixOpen + string(jobID) }

// FinalKey returns the key of the record of a finished job.
func FinalKey(jobID protocol.JobID) string { return "d/" + string(jobID) }

// ProvisioningKey returns the key of the record of a provisioning request.
func ProvisioningKey(requestID string) string { return PrefixProvisioning + requestID }

// NodeVersionKey returns the key of the format version that a controller has recorded.
func NodeVersionKey(node string) string { return PrefixNodeVersion + node }

// segmentSuffix follows the key of an open job in the keys of its run record.
const segmentSuffix = "/t"

// SegmentKey returns the key of a segment of a job's run record. Segment 0 has the key that
// the whole run record has in FormatWhole.
func SegmentKey(jobID protocol.JobID, segment int) string {
	if segment == 0 {
		return PrefixOpen + string(jobID) + segmentSuffix
	}
	return PrefixOpen + string(jobID) + segmentSuffix + "/" + strconv.Itoa(segment)
}

// NoSegment is returned by ParseOpenKey as the segment for the key of an open job's own record.
const NoSegment = -1

// ParseOpenKey splits the key of an open job's record, or of a segment of its run record,
// into job ID and segment. A key with a malformed segment number counts as segment 0.
func ParseOpenKey(key string) (jobID protocol.JobID, segment int) {
	name, rest, isRun := strings.Cut(strings.TrimPrefix(key, PrefixOpen), segmentSuffix)
	jobID = protocol.JobID(name)
	if !isRun {
		return jobID, NoSegment
	}
	number, err := strconv.Atoi(strings.TrimPrefix(rest, "/"))
	if err != nil {
		return jobID, 0
	}
	return jobID, number
}
