package config

import "slices"

// ListedHosts holds the hosts that the platform listed last. Plans are checked
// against it when they are made. Records are not, since the list may differ
// between entry hosts.
type ListedHosts struct {
	// Backends are the backend servers.
	Backends []Backend
	// Workers are the workers.
	Workers []Worker
	// Entries are the names of the entry hosts.
	EntryHosts []string
	// Zones are the names of the availability zones of all hosts, sorted.
	Zones []string
}

// Backend is one backend server of a customer.
type Backend struct {
	Name     string
	Customer string
	// Zone is the availability zone.
	Zone string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Leaving is set when the platform is about to remove the server.
	Leaving bool
}

// Worker is one worker with its availability zone and number of cores.
type Worker struct {
	Name  string
	Zone  string
	Cores int
}

// anyListed reports whether at least one host is listed.
func (s ListedHosts) anyListed() bool { return len(s.Backends)+len(s.Workers)+len(s.EntryHosts) > 0 }

// customersIn returns the sorted names of the customers with backend servers in a
// zone.
func (s ListedHosts) customersIn(zone string) []string {
	var names []string
	for _, b := range s.Backends {
		if b.Zone == zone {
			names = append(names, b.Customer)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (s ListedHosts) backend(name string) (Backend, bool) {
	for _, b := range s.Backends {
		if b.Name == name {
			return b, true
		}
	}
	return Backend{}, false
}

// contains reports whether a host with the name is listed.
func (s ListedHosts) contains(host string) bool {
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
