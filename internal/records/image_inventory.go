package records

// ImageInventory is a part of the image cache inventory: which images a leader knows on some
// machines, for the next leader. It only decides on which machines tasks start soonest, so a
// part that is lost or old does no harm.
type ImageInventory struct {
	Images   []string         `msgpack:"i"`
	SizesGB  []float64        `msgpack:"g"`
	Machines map[string][]int `msgpack:"m"` // indices in Images, the most recently used first
}
