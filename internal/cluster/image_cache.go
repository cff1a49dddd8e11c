package cluster

type cachedImage struct {
	name   string
	sizeGB float64
}

// RecordImageUse notes that an image is on the machine, and forgets the least
// recently used ones beyond the cache's size.
func (m *Machine) RecordImageUse(name string, sizeGB, cacheGB float64) {
	if len(m.images) > 0 && m.images[0].name == name {
		return
	}
	kept := append(make([]cachedImage, 0, len(m.images)+1), cachedImage{name, sizeGB})
	usedGB := sizeGB
	for _, image := range m.images {
		if image.name != name && usedGB+image.sizeGB <= cacheGB {
			usedGB += image.sizeGB
			kept = append(kept, image)
		}
	}
	m.images = kept
	m.imageNames = make([]string, len(kept))
	for i := range kept {
		m.imageNames[i] = kept[i].name
	}
}

// EachImage calls visit for every image believed to be cached, the most recent first.
func (m *Machine) EachImage(visit func(name string, sizeGB float64)) {
	for _, image := range m.images {
		visit(image.name, image.sizeGB)
	}
}

// Images names the images that are believed to be cached. The result is not
// changed later.
func (m *Machine) Images() []string { return m.imageNames }
