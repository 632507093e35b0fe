package ledger

// imageUse is an image that a machine is believed to have cached.
type imageUse struct {
	sizeGB float64
	last   uint64 // when it was last used, in the order of uses
}

// UseImage notes that the machine has the image and uses it now. A machine caches the most
// recently used images: those that no longer fit are dropped, but none that a task needs.
// A cache of size 0 is taken for one without a bound.
func (m *Machine) UseImage(name string, sizeGB, cacheGB float64) {
	if m.imageUses == nil {
		m.imageUses = map[string]imageUse{}
	}
	m.lastUse++
	m.imageUses[name] = imageUse{sizeGB: sizeGB, last: m.lastUse}
	m.Images[name] = true
	if cacheGB <= 0 {
		return
	}
	total := 0.0
	for _, use := range m.imageUses {
		total += use.sizeGB
	}
	for total > cacheGB {
		oldest := m.leastRecentImage()
		if oldest == "" {
			return
		}
		total -= m.imageUses[oldest].sizeGB
		delete(m.imageUses, oldest)
		delete(m.Images, oldest)
	}
}

// leastRecentImage is the image that is dropped next, if any may be.
func (m *Machine) leastRecentImage() string {
	needed := map[string]bool{}
	for _, a := range m.Attempts {
		needed[a.Job.Spec.Image] = true
	}
	oldest := ""
	for name, use := range m.imageUses {
		if !needed[name] && (oldest == "" || use.last < m.imageUses[oldest].last) {
			oldest = name
		}
	}
	return oldest
}
