package records

import (
	"strconv"
	"strings"

	"marblehaven/internal/protocol"
)

// Keys of single records and prefixes of the others.
const (
	KeyTerm            = "term"
	KeyLeader          = "leader"
	KeyCatalog         = "catalog"
	KeyCluster         = "version"
	PrefixOpen         = "o/"
	PrefixProvisioning = "r/"
	PrefixImages       = "h/"
	PrefixNode         = "v/"
)

// OpenKey, FinalKey, ClaimKey and NodeKey name the records of a job, a claim and a
// controller.
func OpenKey(jobID protocol.JobID) string  { return PrefixOpen + string(jobID) }
func FinalKey(jobID protocol.JobID) string { return "d/" + string(jobID) }
func ProvisioningKey(c string) string      { return PrefixProvisioning + c }
func NodeKey(node string) string           { return PrefixNode + node }

const segmentSuffix = "/t"

// SegmentKey names a piece of a job's run record. The first has the key of the whole
// record as version 1 of the formats writes it.
func SegmentKey(jobID protocol.JobID, segment int) string {
	if segment == 0 {
		return PrefixOpen + string(jobID) + segmentSuffix
	}
	return PrefixOpen + string(jobID) + segmentSuffix + "/" + strconv.Itoa(segment)
}

// NoSegment is the piece number of an open job's own record.
const NoSegment = -1

// ParseOpenKey takes the key of an open job's record or of a piece of its run record
// apart.
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
