package cluster

// ImageCache is the leader's estimate of the images that a machine has cached. The agent
// reports no images, so the leader models the machine's cache: the least recently used
// image is evicted first. A wrong estimate costs an image fetch and nothing else.
type ImageCache struct {
	images     []cachedImage // the most recently used first
	imageNames []string      // the names of images, in the same order
}

// cachedImage is an image that is assumed to be cached.
type cachedImage struct {
	name   string
	sizeGB float64
}

// RecordImageUse records that an image is on the machine and was used last, and evicts
// the least recently used images that exceed the size of the cache. The recorded image
// stays even if it alone is larger than the cache.
func (c *ImageCache) RecordImageUse(name string, sizeGB, cacheGB float64) {
	if len(c.images) > 0 && c.images[0].name == name {
		return
	}
	kept := append(make([]cachedImage, 0, len(c.images)+1), cachedImage{name, sizeGB})
	usedGB := sizeGB
	for _, image := range c.images {
		if image.name != name && usedGB+image.sizeGB <= cacheGB {
			usedGB += image.sizeGB
			kept = append(kept, image)
		}
	}
	c.images = kept
	c.imageNames = make([]string, len(kept))
	for i := range kept {
		c.imageNames[i] = kept[i].name
	}
}

// EachImage calls visit for every image that is assumed to be cached, the most recently
// used first.
func (c *ImageCache) EachImage(visit func(name string, sizeGB float64)) {
	for _, image := range c.images {
		visit(image.name, image.sizeGB)
	}
}

// Images returns the names of the images that are assumed to be cached, the most recently
// used first. The returned slice is never changed afterwards, so callers may keep it.
func (c *ImageCache) Images() []string { return c.imageNames }

// clearImages removes all images from the estimate.
func (c *ImageCache) clearImages() {
	c.images, c.imageNames = nil, nil
}
