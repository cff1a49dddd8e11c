package records

// Versions of the record formats.
const (
	// FormatWhole keeps the run record of a job under one key.
	FormatWhole = 1
	// FormatSegmented divides the run record of a job into segments.
	FormatSegmented = 2
	// FormatSupported is the newest version that this program reads and writes.
	FormatSupported = FormatSegmented
)

// FormatVersion is stored under NodeVersionKey as the newest format version that a controller reads
// and writes, and under KeyClusterVersion as the version that the whole cluster uses.
type FormatVersion struct {
	Format int `msgpack:"v"`
}
