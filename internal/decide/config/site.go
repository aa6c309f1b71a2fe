package config

// Site is the hosts as the platform last listed them. Plans are checked
// against it; records are not, since the list differs between entry hosts.
type ListedHosts struct {
	// Backends are the backend servers.
	Backends []Backend
	// Workers are the workers.
	Workers []Worker
	// Entries are the names of the entry hosts.
	EntryHosts []string
}

// Backend is one backend server.
type Backend struct {
	Name     string
	Customer string
	// Slots is how many requests it runs at once.
	Slots int
	// Leaving is set when the platform takes it away.
	Leaving bool
}

// Worker is one worker.
type Worker struct {
	Name  string
	Cores int
}

// known reports whether anything is listed.
func (s ListedHosts) known() bool { return len(s.Backends)+len(s.Workers)+len(s.EntryHosts) > 0 }

func (s ListedHosts) backend(name string) (Backend, bool) {
	for _, b := range s.Backends {
		if b.Name == name {
			return b, true
		}
	}
	return Backend{}, false
}

// names reports whether a host with the name is listed.
func (s ListedHosts) names(host string) bool {
	if _, ok := s.backend(host); ok {
		return true
	}
	for _, w := range s.Workers {
		if w.Name == host {
			return true
		}
	}
	for _, e := range s.EntryHosts {
		if e == host {
			return true
		}
	}
	return false
}
