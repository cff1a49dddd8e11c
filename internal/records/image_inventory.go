package records

// ImageInventory keeps what a leader knows of the images on some machines, for the next
// one. Nothing depends on it but where work starts soonest.
type ImageInventory struct {
	Images   []string         `msgpack:"i"`
	SizesGB  []float64        `msgpack:"g"`
	Machines map[string][]int `msgpack:"m"` // indices of images, the most recent first
}
