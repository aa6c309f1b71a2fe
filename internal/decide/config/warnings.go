package config

import (
	"fmt"
	"maps"
	"slices"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

// warnings says what the intent would break, given the state before and after
// it.
func warnings(before, after *standing.State, site ListedHosts, i Intent) []string {
	if !site.known() {
		return []string{"the host list is not known, so the plan is not checked against it"}
	}
	var out []string
	for _, name := range slices.Sorted(maps.Keys(after.Customers)) {
		concerned := name == i.Customer || usable(before, site, name) > 0
		if concerned && usable(after, site, name) == 0 {
			out = append(out, fmt.Sprintf("customer %s has no usable backend server", name))
		}
	}
	if i.Customer != "" {
		out = append(out, quotaWarnings(after, site, i.Customer)...)
	}
	return append(out, roleWarnings(after, site, i)...)
}

// usable returns how many backend servers the customer can get work done on.
func usable(s *standing.State, site ListedHosts, customer string) int {
	n := 0
	for _, b := range site.Backends {
		_, drained := s.Drains[b.Name]
		weight, listed := s.Customers[customer].Weights[b.Name]
		if b.Customer == customer && !b.Leaving && !drained && (!listed || weight > 0) {
			n++
		}
	}
	return n
}

// quotaWarnings compares the sums of the teams' quotas with the capacity.
func quotaWarnings(after *standing.State, site ListedHosts, customer string) []string {
	var out []string
	cores, capacity := 0, 0
	for _, c := range after.Customers {
		for _, team := range c.Teams {
			cores += team.Cores
		}
	}
	for _, w := range site.Workers {
		capacity += w.Cores
	}
	if cores > capacity {
		out = append(out, fmt.Sprintf("the teams' quotas sum to %d cores, the workers have %d", cores, capacity))
	}
	slots, given := 0, 0
	for _, team := range after.Customers[customer].Teams {
		slots += team.Slots * len(site.EntryHosts)
	}
	for _, b := range site.Backends {
		if b.Customer == customer {
			given += b.Slots
		}
	}
	if slots > given {
		out = append(out, fmt.Sprintf("the teams of customer %s may hold %d slots over %d entry hosts, its backend servers have %d",
			customer, slots, len(site.EntryHosts), given))
	}
	return out
}

// roleWarnings says whether a drain takes the last worker or entry host.
func roleWarnings(after *standing.State, site ListedHosts, i Intent) []string {
	if i.Verb != Drain {
		return nil
	}
	var workers []string
	for _, w := range site.Workers {
		workers = append(workers, w.Name)
	}
	var out []string
	if takesLast(after, workers, i.Host) {
		out = append(out, "no worker is left")
	}
	if takesLast(after, site.EntryHosts, i.Host) {
		out = append(out, "no entry host is left")
	}
	return out
}

// takesLast reports whether the host is one of the names and all are drained.
func takesLast(s *standing.State, names []string, host string) bool {
	left := slices.ContainsFunc(names, func(name string) bool {
		_, drained := s.Drains[name]
		return !drained
	})
	return slices.Contains(names, host) && !left
}
