package clusterstate

import (
	"maps"
	"slices"
	"strings"
)

// imageUse is an image that a machine is believed to have cached.
type imageUse struct {
	sizeGB  float64
	lastUse uint64 // when it was last used, in the order of uses
}

// UseImage notes that the machine has the image and uses it now. A machine caches the most
// recently used images: those that no longer fit are dropped, but none that a task needs.
// A cache of size 0 is taken for one without a bound.
func (m *Machine) UseImage(name string, sizeGB, cacheGB float64) {
	if m.imageUses == nil {
		m.imageUses = map[string]imageUse{}
	}
	m.lastImageUse++
	if !m.Images[name] {
		m.imagesChanged()
	}
	m.imageUses[name] = imageUse{sizeGB: sizeGB, lastUse: m.lastImageUse}
	m.Images[name] = true
	if cacheGB <= 0 {
		return
	}
	total := 0.0
	for _, use := range m.imageUses {
		total += use.sizeGB
	}
	for total > cacheGB {
		oldest := m.leastRecentlyUsedImage()
		if oldest == "" {
			return
		}
		total -= m.imageUses[oldest].sizeGB
		delete(m.imageUses, oldest)
		delete(m.Images, oldest)
		m.imagesChanged()
	}
}

// leastRecentlyUsedImage is the image that is dropped next, if any may be.
func (m *Machine) leastRecentlyUsedImage() string {
	needed := map[string]bool{}
	for _, a := range m.Attempts {
		needed[a.Job.Spec.Image] = true
	}
	oldest := ""
	for name, use := range m.imageUses {
		if !needed[name] && (oldest == "" || use.lastUse < m.imageUses[oldest].lastUse) {
			oldest = name
		}
	}
	return oldest
}

// imagesChanged notes that the machine has other images now.
func (m *Machine) imagesChanged() {
	m.imageSet = 0
	m.revision++
}

// maxImageSets bounds the numbers that are given to sets of images.
const maxImageSets = 1 << 16

// ImageSet is a number that machines share which have the same images; it is at least 1.
func (s *State) ImageSet(m *Machine) int {
	if m.imageSet != 0 {
		return m.imageSet
	}
	name := strings.Join(slices.Sorted(maps.Keys(m.Images)), "\n")
	set, known := s.imageSets[name]
	if !known {
		if len(s.imageSets) >= maxImageSets {
			s.resetImageSets()
		}
		s.lastImageSet++
		set = s.lastImageSet
		s.imageSets[name] = set
	}
	m.imageSet = set
	return set
}

// resetImageSets begins anew, as most sets are long gone. Numbers are not used again.
func (s *State) resetImageSets() {
	s.imageSets = map[string]int{}
	for _, m := range s.Machines {
		m.imageSet = 0
	}
}
