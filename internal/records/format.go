package records

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
