package tuning

import "time"

// Constants of the image cache inventory that a leader keeps for the next one.
const (
	// ImageInventoryInterval is the pause between writes of a part of the inventory. For a
	// leader with a dozen mutations a second, one write every 2.5 s is a few percent of them.
	ImageInventoryInterval = 2500 * time.Millisecond
	// ImageInventoryMachines is the largest number of machines that a part describes. A part
	// describes fewer if they do not fit in a value.
	ImageInventoryMachines = 300
	// ImageInventoryImages is the largest number of images that a part names for a machine,
	// the most recently used first.
	ImageInventoryImages = 16

	// ImageInventoryEntryBytes is an upper bound on the size of a machine or an image in a
	// part without its name, in bytes as JSON: quotes, brackets and the image's size.
	ImageInventoryEntryBytes = 28
	// ImageInventoryIndexBytes is the size of the index of an image, in bytes as JSON.
	ImageInventoryIndexBytes = 4
)
