package controller

import (
	"slices"

	"claybarrow/internal/protocol"
)

// recordPreload is the stored records of a suspected leader, read page by page ahead of the election. They are
// as they were at some revision each.
type recordPreload struct {
	token uint64 // of the suspected leader
	// order is the prefixes to be read, prefixes what was read of the first of them; the last of prefixes is
	// being read.
	order    []string
	prefixes []preloadedPrefix
	after    string // the key after which the next page begins; "": the prefix's first page
	bytes    int    // encoded size of all pages
	inFlight bool   // a page was requested
	finished bool   // all prefixes are read, or the preload was abandoned
}

// preloadedPrefix is the records under one prefix.
type preloadedPrefix struct {
	items []protocol.KeyValue
	// revision is that of the first page: catchUp needs the changes after it.
	revision uint64
	complete bool
}

// recordsPerPage is how many records the state service returns in one page. A prefix with fewer is not kept:
// to read it after the election takes one request, as many as to ask what has changed.
const recordsPerPage = 1000

// newRecordPreload begins a preload of the records of the leader with a token.
func newRecordPreload(token uint64, order []string) *recordPreload {
	return &recordPreload{token: token, order: order, prefixes: make([]preloadedPrefix, 1, len(order))}
}

// currentPrefix is the prefix that is being read.
func (p *recordPreload) currentPrefix() string { return p.order[len(p.prefixes)-1] }

// addPage adds a page of the current prefix. After its last page the next prefix is begun.
func (p *recordPreload) addPage(page protocol.KeyValuePage) {
	current := &p.prefixes[len(p.prefixes)-1]
	if p.after == "" {
		current.revision = page.Revision
	}
	current.items = append(current.items, page.Items...)
	if page.More && len(page.Items) > 0 {
		p.after = page.Items[len(page.Items)-1].Key
		return
	}
	current.complete = true
	if len(current.items) < recordsPerPage {
		current.items, current.complete = nil, false
	}
	if len(p.prefixes) == len(p.order) {
		p.finished = true
		return
	}
	p.after = ""
	p.prefixes = append(p.prefixes, preloadedPrefix{})
}

// recordsUnder returns what was preloaded under a prefix, or nil if it has to be read whole. The preload may be
// nil: there was none.
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

// catchUp applies the changes since the preload and returns the records as the state service has them now, in
// the order of their keys.
func (p *preloadedPrefix) catchUp(events []protocol.WatchEvent) []protocol.KeyValue {
	current := make(map[string]protocol.KeyValue, len(p.items))
	for _, item := range p.items {
		current[item.Key] = item
	}
	for _, event := range events {
		if event.Delete != "" {
			delete(current, event.Delete)
		} else {
			current[event.Put] = protocol.KeyValue{Key: event.Put, Value: event.Value, Version: event.Version}
		}
	}
	out := make([]protocol.KeyValue, 0, len(current))
	for _, key := range sortedKeys(current) {
		out = append(out, current[key])
	}
	return out
}
