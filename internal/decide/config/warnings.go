package config

import (
	"fmt"
	"maps"
	"slices"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

// warnings describes what the intent would break, given the states before and
// after it.
func warnings(before, after *standing.State, hosts ListedHosts, i Intent) []string {
	if !hosts.anyListed() {
		return []string{"the host list is not known, so the plan is not checked against it"}
	}
	var out []string
	for _, name := range slices.Sorted(maps.Keys(after.Customers)) {
		affected := name == i.Customer || usableBackends(before, hosts, name) > 0
		if affected && usableBackends(after, hosts, name) == 0 {
			out = append(out, fmt.Sprintf("customer %s has no usable backend server", name))
		}
	}
	if i.Customer != "" {
		out = append(out, quotaWarnings(after, hosts, i.Customer)...)
	}
	out = append(out, zoneWarnings(before, after, hosts, i)...)
	return append(out, roleWarnings(after, hosts, i)...)
}

// zoneWarnings warns if a zone to evacuate is unknown, already evacuated or the
// last one in service, and if no worker outside evacuated zones is left.
func zoneWarnings(before, after *standing.State, hosts ListedHosts, i Intent) []string {
	if i.Verb != EvacuateZone {
		return nil
	}
	var out []string
	if !slices.Contains(hosts.Zones, i.Zone) {
		out = append(out, fmt.Sprintf("the host list names no host in zone %q", i.Zone))
	}
	if e, ok := before.Evacuations[i.Zone]; ok {
		out = append(out, fmt.Sprintf("zone %q is evacuated already, since version %d by %s", i.Zone, e.Since, e.Operator))
	}
	if !slices.ContainsFunc(hosts.Zones, func(zone string) bool { return !after.Evacuated(zone) }) {
		out = append(out, fmt.Sprintf("zone %q is the last one in service", i.Zone))
	}
	usable := func(s *standing.State) bool {
		return slices.ContainsFunc(hosts.Workers, func(w Worker) bool {
			_, drained := s.Drains[w.Name]
			return !drained && !s.Evacuated(w.Zone)
		})
	}
	if usable(before) && !usable(after) {
		out = append(out, "no worker is left")
	}
	return out
}

// usableBackends returns the number of backend servers that can get new work of
// the customer.
func usableBackends(s *standing.State, hosts ListedHosts, customer string) int {
	n := 0
	for _, b := range hosts.Backends {
		_, drained := s.Drains[b.Name]
		weight, listed := s.Customers[customer].Weights[b.Name]
		if b.Customer == customer && !b.Leaving && !drained && !s.Evacuated(b.Zone) && (!listed || weight > 0) {
			n++
		}
	}
	return n
}

// quotaWarnings warns if the teams' quotas add up to more than the capacity: the
// cores of all customers' teams on the workers, and the slots of this customer's
// teams on its backend servers.
func quotaWarnings(after *standing.State, hosts ListedHosts, customer string) []string {
	var out []string
	cores, coreCapacity := 0, 0
	for _, c := range after.Customers {
		for _, team := range c.Teams {
			cores += team.Cores
		}
	}
	for _, w := range hosts.Workers {
		coreCapacity += w.Cores
	}
	if cores > coreCapacity {
		out = append(out, fmt.Sprintf("the teams' quotas sum to %d cores, the workers have %d", cores, coreCapacity))
	}
	slots, slotCapacity := 0, 0
	for _, team := range after.Customers[customer].Teams {
		slots += team.Slots * len(hosts.EntryHosts)
	}
	for _, b := range hosts.Backends {
		if b.Customer == customer {
			slotCapacity += b.Slots
		}
	}
	if slots > slotCapacity {
		out = append(out, fmt.Sprintf("the teams of customer %s may hold %d slots over %d entry hosts, its backend servers have %d",
			customer, slots, len(hosts.EntryHosts), slotCapacity))
	}
	return out
}

// roleWarnings warns if a drain takes the last worker or entry host out of
// service.
func roleWarnings(after *standing.State, hosts ListedHosts, i Intent) []string {
	if i.Verb != Drain {
		return nil
	}
	var workers []string
	for _, w := range hosts.Workers {
		workers = append(workers, w.Name)
	}
	var out []string
	if takesLast(after, workers, i.Host) {
		out = append(out, "no worker is left")
	}
	if takesLast(after, hosts.EntryHosts, i.Host) {
		out = append(out, "no entry host is left")
	}
	return out
}

// takesLast reports whether the host is one of the names and all of these are
// drained.
func takesLast(s *standing.State, names []string, host string) bool {
	anyInService := slices.ContainsFunc(names, func(name string) bool {
		_, drained := s.Drains[name]
		return !drained
	})
	return slices.Contains(names, host) && !anyInService
}
