package tuning

import "time"

// Constants of the image cache inventory.
const (
	// ImageInventoryInterval is the pause between writes of what is known of images, of as many
	// machines as fit in a value, ImageInventoryMachines at most, and ImageInventoryImages images each:
	// one change of the dozen that a leader has in a second, in 2.5 s.
	ImageInventoryInterval = 2500 * time.Millisecond
	ImageInventoryMachines = 300
	ImageInventoryImages   = 16

	// ImageInventoryEntryBytes is more than a machine or an image takes in a hint beside its name,
	// in bytes as JSON: quotes, brackets and the image's size. ImageInventoryIndexBytes is what
	// the index of an image takes.
	ImageInventoryEntryBytes = 28
	ImageInventoryIndexBytes = 4
)
