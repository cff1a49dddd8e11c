package cluster

import (
	"slices"
	"testing"
)

// The least recently used images are evicted first, and a returned list of names does not
// change afterwards.
func TestImageCacheEvictsLeastRecentlyUsed(t *testing.T) {
	var cache ImageCache
	for _, name := range []string{"a", "b", "a", "c"} {
		cache.RecordImageUse(name, 4, 12)
	}
	before := cache.Images()
	if !slices.Equal(before, []string{"c", "a", "b"}) {
		t.Errorf("cached %v, want [c a b]", before)
	}
	cache.RecordImageUse("d", 4, 12)
	if names := cache.Images(); !slices.Equal(names, []string{"d", "c", "a"}) {
		t.Errorf("cached %v after another image, want [d c a]", names)
	}
	if !slices.Equal(before, []string{"c", "a", "b"}) {
		t.Error("a returned list was changed")
	}
	cache.RecordImageUse("large", 20, 12)
	if names := cache.Images(); !slices.Equal(names, []string{"large"}) {
		t.Errorf("cached %v after an image larger than the cache, want [large]", names)
	}
}
