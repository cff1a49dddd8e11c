// Package records defines the durable records and their keys.
//
// An open job is o/<ref> and, once it was worked on, o/<ref>/t with the run record,
// whose further pieces are o/<ref>/t/<number> (see Piece). A finished job is
// d/<ref>. Closing moves a job from one to the other in one commit, so at every
// moment an accepted job is at exactly one of them: whoever finds neither may say
// that the job is not known. Pieces that are left without an open record belong to
// a finished job and may be removed.
package records

import (
	"slices"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"marblehaven/internal/codec"
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

// Versions of the formats of records. Version 1 keeps a job's whole run record
// under one key; version 2 divides it into pieces.
const (
	FormatWhole     = 1
	FormatSegmented = 2
	// FormatSupported is what this program can read and write.
	FormatSupported = FormatSegmented
)

// FormatVersion is the format version that a controller can read and write, under its
// node key, or the one that the whole cluster uses, under the cluster key.
type FormatVersion struct {
	Format int `msgpack:"v"`
}

// LeaderRecord says who leads. The term key outlives every leader; the leader key,
// with the same content, hangs on the leader's grant.
type LeaderRecord struct {
	Term protocol.Term `msgpack:"n"`
	Node string        `msgpack:"node"`
}

// OpenJob is an accepted job that is not over.
type OpenJob struct {
	Job        protocol.Job `msgpack:"j"`
	AcceptedMS int64        `msgpack:"a"` // time of day of acceptance
	Cancelled  bool         `msgpack:"c,omitempty"`
}

// MarkedCancelled looks for the mark of a cancellation in an open record that
// cannot be read as a whole.
func MarkedCancelled(value []byte) bool {
	var m map[string]msgpack.RawMessage
	var c bool
	return codec.Unmarshal(value, &m) == nil && codec.Unmarshal(m["c"], &c) == nil && c
}

// Placement is a task that may be on a machine.
type Placement struct {
	Task        int
	Attempt     uint64
	Machine     string
	Incarnation protocol.Incarnation
	// Zone is set where the job has conditions on zones: a new leader may not
	// know the machine's yet, and must count the task where it is.
	Zone string
}

// RunRecord is what was done about an open job. Live holds every task that may be on
// a machine: it is written before a start is sent, and shrinks on proof only.
type RunRecord struct {
	NextAttempt uint64      `msgpack:"n"` // the next unused attempt number
	Done        TaskRanges  `msgpack:"d"`
	Placements  []Placement `msgpack:"l"`
}

// FinalRecord is the last word on a job.
type FinalRecord struct {
	Phase     protocol.JobPhase `msgpack:"p"`
	TasksDone int               `msgpack:"n"`
	// ClosedMS is the time of day when the job was closed; the waits of jobs that
	// depend on it count from then. 0 in records of earlier versions.
	ClosedMS int64 `msgpack:"a,omitempty"`
}

// ProvisioningRequest is a rental, written before its call. A claim's name is never reused.
type ProvisioningRequest struct {
	ID          string `msgpack:"c"`
	Type        string `msgpack:"t"`
	Zone        string `msgpack:"z"`
	Spot        bool   `msgpack:"s"`
	Count       int    `msgpack:"n"`
	RequestedMS int64  `msgpack:"a"`
}

// ImageInventory keeps what a leader knows of the images on some machines, for the next
// one. Nothing depends on it but where work starts soonest.
type ImageInventory struct {
	Images   []string         `msgpack:"i"`
	SizesGB  []float64        `msgpack:"g"`
	Machines map[string][]int `msgpack:"m"` // indices of images, the most recent first
}

// TaskRanges is a set of task numbers as sorted, disjoint, closed ranges, so that a
// job of 100,000 finished tasks takes a few bytes.
type TaskRanges [][2]int

func (r TaskRanges) find(n int) (int, bool) {
	return slices.BinarySearchFunc(r, n, func(e [2]int, n int) int {
		switch {
		case e[1] < n:
			return -1
		case e[0] > n:
			return 1
		}
		return 0
	})
}

// Has tells whether n is in the set.
func (r TaskRanges) Has(n int) bool { _, ok := r.find(n); return ok }

// Add puts n into the set.
func (r *TaskRanges) Add(n int) {
	i, ok := r.find(n)
	if ok {
		return
	}
	s := *r
	left := i > 0 && s[i-1][1] == n-1
	right := i < len(s) && s[i][0] == n+1
	switch {
	case left && right:
		s[i-1][1] = s[i][1]
		s = slices.Delete(s, i, i+1)
	case left:
		s[i-1][1] = n
	case right:
		s[i][0] = n
	default:
		s = slices.Insert(s, i, [2]int{n, n})
	}
	*r = s
}

// Count is the size of the set.
func (r TaskRanges) Count() int {
	n := 0
	for _, e := range r {
		n += e[1] - e[0] + 1
	}
	return n
}
