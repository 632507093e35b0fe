package controller

import (
	"slices"

	"claybarrow/internal/protocol"
)

// recordPreload is the records of a leader that is suspected, as they were at some revision.
type recordPreload struct {
	token uint64 // of that leader
	// order are the prefixes to be read, steps what was read of the first of them.
	order    []string
	prefixes []preloadedPrefix
	after    string
	bytes    int
	inFlight bool
	finished bool // all is read, or it was given up
}

// preloadedPrefix is the records under one prefix.
type preloadedPrefix struct {
	items []protocol.Item
	// revision is that of the first page: what has changed after it is asked for.
	revision uint64
	complete bool
}

// recordsPerPage is how many records a page has. A prefix with fewer is read after the election:
// that takes one request, as to ask what has changed does.
const recordsPerPage = 1000

// addPage adds a page.
func (p *recordPreload) addPage(items protocol.Items) {
	step := &p.prefixes[len(p.prefixes)-1]
	if p.after == "" {
		step.revision = items.Revision
	}
	step.items = append(step.items, items.Items...)
	if items.More && len(items.Items) > 0 {
		p.after = items.Items[len(items.Items)-1].Key
		return
	}
	step.complete = true
	if len(step.items) < recordsPerPage {
		step.items, step.complete = nil, false
	}
	if len(p.prefixes) == len(p.order) {
		p.finished = true
		return
	}
	p.after = ""
	p.prefixes = append(p.prefixes, preloadedPrefix{})
}

// recordsUnder returns what was read ahead under a prefix; nil: it has to be read whole.
func (p *recordPreload) recordsUnder(prefix string) *preloadedPrefix {
	if p == nil {
		return nil
	}
	number := slices.Index(p.order, prefix)
	if number < 0 || number >= len(p.prefixes) || !p.prefixes[number].complete {
		return nil
	}
	return &p.prefixes[number]
}

// catchUp brings records that were read ahead to what the state service has now.
func (p *preloadedPrefix) catchUp(events []protocol.Event) []protocol.Item {
	current := make(map[string]protocol.Item, len(p.items))
	for _, it := range p.items {
		current[it.Key] = it
	}
	for _, e := range events {
		if e.Delete != "" {
			delete(current, e.Delete)
		} else {
			current[e.Put] = protocol.Item{Key: e.Put, Value: e.Value, Version: e.Version}
		}
	}
	out := make([]protocol.Item, 0, len(current))
	for _, key := range sortedKeys(current) {
		out = append(out, current[key])
	}
	return out
}
