package route

import "slices"

// server is a backend server with the number of this host's requests on it.
type server struct {
	Backend
	// used is the number of this host's requests on the server.
	used int
	// unlisted is set once the server is no longer listed.
	unlisted bool
}

// table holds the servers by number and by name, and orders them by rank.
type table struct {
	listed  []Backend
	servers []server
	byName  map[string]int
	index   index
}

// update replaces the listed servers and reports whether anything changed.
// Servers in use stay until they are released.
func (t *table) update(listed []Backend) bool {
	if t.byName != nil && slices.Equal(t.listed, listed) {
		return false
	}
	old := t.servers
	t.listed = slices.Clone(listed)
	t.servers = make([]server, 0, len(listed))
	t.byName = make(map[string]int, len(listed))
	for _, b := range listed {
		t.byName[b.Name] = len(t.servers)
		t.servers = append(t.servers, server{Backend: b})
	}
	for _, s := range old {
		t.carryOver(s)
	}
	return true
}

// carryOver copies the count of a server in use to the new list. A server that
// is not in that list is added as unlisted.
func (t *table) carryOver(s server) {
	if s.used == 0 {
		return
	}
	if i, ok := t.byName[s.Name]; ok {
		t.servers[i].used = s.used
		return
	}
	s.unlisted = true
	t.byName[s.Name] = len(t.servers)
	t.servers = append(t.servers, s)
}

// rebuildIndex ranks all servers again.
func (t *table) rebuildIndex(rankOf func(i int) rank) { t.index.reset(len(t.servers), rankOf) }

// first returns the number of the best server that is not in skip, or -1 if no
// slot is free.
func (t *table) first(skip map[string]bool) int {
	if len(skip) == 0 {
		return t.index.first(nil)
	}
	return t.index.first(func(i int) bool { return skip[t.servers[i].Name] })
}
