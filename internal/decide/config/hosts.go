package config

import "slices"

// ListedHosts holds the hosts that the platform listed last. Plans are checked
// against it when they are made. Records are not, since the list may differ
// between entry hosts.
type ListedHosts struct {
	// Backends are the backend servers.
	Backends []Backend `json:"backends"`
	// Workers are the workers.
	Workers []Worker `json:"workers"`
	// EntryHosts are the names of the entry hosts.
	EntryHosts []string `json:"entry_hosts"`
	// Zones are the names of the availability zones of all hosts, sorted.
	Zones []string `json:"zones"`
}

// Backend is one backend server of a customer.
type Backend struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Slots is the number of requests that the server runs at once.
	Slots int `json:"slots"`
	// Leaving is set when the platform is about to remove the server.
	Leaving bool `json:"leaving,omitempty"`
}

// Worker is one worker with its availability zone and number of cores.
type Worker struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	Cores int    `json:"cores"`
}

// AnyListed reports whether at least one host is listed.
func (s ListedHosts) AnyListed() bool { return len(s.Backends)+len(s.Workers)+len(s.EntryHosts) > 0 }

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

// Backend returns the listed backend server with the name.
func (s ListedHosts) Backend(name string) (Backend, bool) {
	for _, b := range s.Backends {
		if b.Name == name {
			return b, true
		}
	}
	return Backend{}, false
}

// Contains reports whether a host with the name is listed.
func (s ListedHosts) Contains(host string) bool {
	if _, ok := s.Backend(host); ok {
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
