package protocol

import "marblehaven/internal/tuning"

// JobID identifies a job. ValidJobID checks its form. Users choose the IDs of their jobs.
type JobID string

// ValidJobID reports whether id has the form of a job ID: "req-" and 1 to 20 digits.
func ValidJobID(id JobID) bool {
	const prefix = "req-"
	if len(id) <= len(prefix) || len(id) > len(prefix)+20 || id[:len(prefix)] != prefix {
		return false
	}
	for _, c := range id[len(prefix):] {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// Term numbers the leaders one after another: a newer leader has a higher term.
type Term uint64

// FencingToken shows an agent which leader sent a command or a heartbeat reply. An agent
// drops every command and reply with a lower token than the highest that it has received.
// The high bits are the leader's term; the low bits count the tokens that the leader has
// issued to one machine.
type FencingToken uint64

// FirstToken returns the lowest token of the term.
func (t Term) FirstToken() FencingToken { return FencingToken(t) << tuning.TermShift }

// Term returns the term of the leader that issued the token.
func (t FencingToken) Term() Term { return Term(t >> tuning.TermShift) }

// Incarnation numbers the periods of an agent between two losses of its lease. A new
// incarnation begins when the lease expires; no task of an earlier incarnation is on the
// machine then.
type Incarnation uint64

// Revision counts all changes of the key-value store.
type Revision uint64

// Version is the revision of a key's last change, or 0 if the key does not exist.
type Version uint64

// Version returns the version of the keys that were written at the revision.
func (r Revision) Version() Version { return Version(r) }

// Revision returns the revision of the change that gave the key this version.
func (v Version) Revision() Revision { return Revision(v) }

// LeaseID identifies a lease of the key-value store.
type LeaseID uint64
