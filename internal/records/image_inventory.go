package records

// ImageInventory is one part of the image cache inventory, in which a leader records for the
// next leader which images are assumed to be cached on some of the machines. The inventory only
// affects on which machines tasks start soonest, so a lost or outdated part does no harm.
type ImageInventory struct {
	Images   []string         `msgpack:"i"`
	SizesGB  []float64        `msgpack:"g"`
	Machines map[string][]int `msgpack:"m"` // indices in Images, the most recently used first
}
