package clusterstate

import (
	"maps"
	"slices"
	"strings"
)

// ImageCache is the leader's estimate of the images that a machine has cached. It is kept in memory only: a new
// leader begins with the images of the attempts that it loads.
type ImageCache struct {
	// Images are the names of the images that the machine is assumed to have.
	Images map[string]bool

	uses         map[string]imageUse
	lastImageUse uint64 // number of the last use
	// imageSet is the number of the present set of images, or 0 if the number was not looked up since the set
	// changed.
	imageSet int
}

// imageUse is the last use of a cached image.
type imageUse struct {
	sizeGB  float64
	lastUse uint64 // the uses of all images of a machine are numbered from 1
}

// UseImage records that the machine has the image and uses it now. If the images then exceed the size of the
// cache, the least recently used ones are evicted, except those that an attempt on the machine needs. A cacheGB
// of 0 or less means an unbounded cache.
func (m *Machine) UseImage(name string, sizeGB, cacheGB float64) {
	if m.uses == nil {
		m.uses = map[string]imageUse{}
	}
	m.lastImageUse++
	if !m.Images[name] {
		m.imagesChanged()
	}
	m.uses[name] = imageUse{sizeGB: sizeGB, lastUse: m.lastImageUse}
	m.Images[name] = true
	if cacheGB > 0 {
		m.evictImages(cacheGB)
	}
}

// evictImages evicts the least recently used images that no attempt needs until the others fit into the cache.
func (m *Machine) evictImages(cacheGB float64) {
	totalGB := 0.0
	for _, use := range m.uses {
		totalGB += use.sizeGB
	}
	for totalGB > cacheGB {
		oldest := m.leastRecentlyUsedImage()
		if oldest == "" {
			return
		}
		totalGB -= m.uses[oldest].sizeGB
		delete(m.uses, oldest)
		delete(m.Images, oldest)
		m.imagesChanged()
	}
}

// leastRecentlyUsedImage returns the image to evict next, or "" if attempts on the machine need all images.
func (m *Machine) leastRecentlyUsedImage() string {
	needed := map[string]bool{}
	for _, a := range m.Attempts {
		needed[a.Job.Spec.Image] = true
	}
	oldest := ""
	for name, use := range m.uses {
		if !needed[name] && (oldest == "" || use.lastUse < m.uses[oldest].lastUse) {
			oldest = name
		}
	}
	return oldest
}

func (m *Machine) imagesChanged() {
	m.imageSet = 0
	m.revision++
}

// maxImageSets limits the number of entries in State.imageSets, and so its memory.
const maxImageSets = 1 << 16

// ImageSet returns a number, at least 1, that is the same for all machines with the same images. It lets the
// scheduler compare the images of machines without comparing the sets.
func (s *State) ImageSet(m *Machine) int {
	if m.imageSet != 0 {
		return m.imageSet
	}
	name := strings.Join(slices.Sorted(maps.Keys(m.Images)), "\n")
	number, found := s.imageSets[name]
	if !found {
		if len(s.imageSets) >= maxImageSets {
			s.resetImageSets()
		}
		s.lastImageSet++
		number = s.lastImageSet
		s.imageSets[name] = number
	}
	m.imageSet = number
	return number
}

// resetImageSets removes the numbers of all sets, as most sets no longer belong to any machine. Numbers are not
// reused.
func (s *State) resetImageSets() {
	s.imageSets = map[string]int{}
	for _, m := range s.Machines {
		m.imageSet = 0
	}
}
