package tuning

import "time"

// Constants of the image cache inventory that a leader keeps for the next one.
const (
	// ImageInventoryInterval is the pause between writes of a part of the inventory. With a
	// dozen mutations a second for the leader, a write in 2.5 s is a few percent of them.
	ImageInventoryInterval = 2500 * time.Millisecond
	// ImageInventoryMachines is how many machines a part describes at most; fewer if they
	// do not fit in a value.
	ImageInventoryMachines = 300
	// ImageInventoryImages is how many images a part names for a machine at most, the most
	// recently used first.
	ImageInventoryImages = 16

	// ImageInventoryEntryBytes is more than a machine or an image takes in a part beside
	// its name, in bytes as JSON: quotes, brackets and the image's size.
	ImageInventoryEntryBytes = 28
	// ImageInventoryIndexBytes is the size of the index of an image, in bytes as JSON.
	ImageInventoryIndexBytes = 4
)
