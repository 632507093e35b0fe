package controller

import (
	"slices"

	"claybarrow/internal/protocol"
)

// recordPreload holds the stored records of a suspected leader, read page by page ahead of the election. Each page was
// read at a revision of its own.
type recordPreload struct {
	token uint64 // of the suspected leader
	// order lists the prefixes to read. prefixes[i] holds the records under order[i]; the last entry of prefixes is
	// still being read until the preload is finished.
	order    []string
	prefixes []preloadedPrefix
	after    string // the key after which the next page begins; "": the next page is the prefix's first
	bytes    int    // encoded size of all pages
	inFlight bool   // a request for a page is in flight
	finished bool   // all prefixes have been read, or the preload was abandoned
}

// preloadedPrefix holds the records under one prefix.
type preloadedPrefix struct {
	items []protocol.KeyValue
	// revision is the revision of the first page; applyChanges needs the changes after it.
	revision uint64
	complete bool
}

// recordsPerPage is the number of records in a full page of the state service. Prefixes with fewer records are not
// kept: reading them after the election takes one request, as does requesting their changes.
const recordsPerPage = 1000

// newRecordPreload returns an empty preload of the records of the leader with the given token.
func newRecordPreload(token uint64, order []string) *recordPreload {
	return &recordPreload{token: token, order: order, prefixes: make([]preloadedPrefix, 1, len(order))}
}

// currentPrefix is the prefix that is currently being read.
func (p *recordPreload) currentPrefix() string { return p.order[len(p.prefixes)-1] }

// addPage adds a page of the current prefix. After the last page of a prefix it continues with the next prefix.
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

// recordsUnder returns the preloaded records under a prefix, or nil if the prefix must be read in full. It may be
// called on a nil preload.
func (p *recordPreload) recordsUnder(prefix string) *preloadedPrefix {
	if p == nil {
		return nil
	}
	index := slices.Index(p.order, prefix)
	if index < 0 || index >= len(p.prefixes) || !p.prefixes[index].complete {
		return nil
	}
	return &p.prefixes[index]
}

// applyChanges applies the changes since the preload and returns the current records in the order of their keys.
func (p *preloadedPrefix) applyChanges(events []protocol.WatchEvent) []protocol.KeyValue {
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
	records := make([]protocol.KeyValue, 0, len(current))
	for _, key := range sortedKeys(current) {
		records = append(records, current[key])
	}
	return records
}
