package config

import (
	"fmt"
	"maps"
	"slices"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

// WarningKind classifies a warning.
type WarningKind string

// The kinds of warnings.
const (
	// NeverMatches means that nothing can match the entry, such as a customer
	// without a usable backend server.
	NeverMatches WarningKind = "never_matches"
	// LimitExceeded means that a limit is above what there is.
	LimitExceeded WarningKind = "limit"
	// OutOfService means that too little remains in service, or that the host or
	// zone is out of service already.
	OutOfService WarningKind = "out_of_service"
)

// Warning describes what an intent would break, at one of its entries.
type Warning struct {
	standing.Problem
	Kind WarningKind
}

func newWarning(kind WarningKind, path []string, fix, format string, args ...any) Warning {
	return Warning{standing.Problem{Path: path, Text: fmt.Sprintf(format, args...), Fix: fix}, kind}
}

// warningTexts returns the texts of the warnings of a plan.
func warningTexts(before, after *standing.State, hosts ListedHosts, i Intent) []string {
	if !hosts.AnyListed() {
		return []string{"the host list is not known, so the plan is not checked against it"}
	}
	var out []string
	for _, w := range warnings(before, after, hosts, i) {
		out = append(out, w.Text)
	}
	return out
}

// subjectPath returns the path of the entry that names what the intent changes.
func subjectPath(i Intent) []string {
	switch i.Verb {
	case Drain, Undrain:
		return []string{"host"}
	case EvacuateZone, ReadmitZone:
		return []string{"zone"}
	case SetWeight:
		return []string{"weight"}
	default:
		return []string{"customer"}
	}
}

// quotaPath returns the path of the entry that sets a quota of slots or cores.
func quotaPath(i Intent, quota string) []string {
	switch i.Verb {
	case SetCustomer:
		return []string{"rules", "teams"}
	case SetTeam:
		return []string{"team_rules", quota}
	default:
		return subjectPath(i)
	}
}

// warnings describes what the intent would break, given the states before and
// after it.
func warnings(before, after *standing.State, hosts ListedHosts, i Intent) []Warning {
	var out []Warning
	for _, name := range slices.Sorted(maps.Keys(after.Customers)) {
		affected := name == i.Customer || usableBackends(before, hosts, name) > 0
		if affected && usableBackends(after, hosts, name) == 0 {
			out = append(out, newWarning(NeverMatches, subjectPath(i), "keep or list a usable backend server of the customer",
				"customer %s has no usable backend server", name))
		}
	}
	if i.Customer != "" {
		out = append(out, quotaWarnings(after, hosts, i)...)
	}
	out = append(out, zoneWarnings(before, after, hosts, i)...)
	return append(out, roleWarnings(after, hosts, i)...)
}

// zoneWarnings warns if a zone to evacuate is unknown, already evacuated or the
// last one in service, and if no worker outside evacuated zones is left.
func zoneWarnings(before, after *standing.State, hosts ListedHosts, i Intent) []Warning {
	if i.Verb != EvacuateZone {
		return nil
	}
	var out []Warning
	path := subjectPath(i)
	if !slices.Contains(hosts.Zones, i.Zone) {
		out = append(out, newWarning(NeverMatches, path, "name a zone of the host list", "the host list names no host in zone %q", i.Zone))
	}
	if e, ok := before.Evacuations[i.Zone]; ok {
		out = append(out, newWarning(OutOfService, path, "name a zone in service", "zone %q is evacuated already, since version %d by %s", i.Zone, e.Since, e.Operator))
	}
	if !slices.ContainsFunc(hosts.Zones, func(zone string) bool { return !after.Evacuated(zone) }) {
		out = append(out, newWarning(OutOfService, path, "readmit another zone first", "zone %q is the last one in service", i.Zone))
	}
	usable := func(s *standing.State) bool {
		return slices.ContainsFunc(hosts.Workers, func(w Worker) bool {
			_, drained := s.Drains[w.Name]
			return !drained && !s.Evacuated(w.Zone)
		})
	}
	if usable(before) && !usable(after) {
		out = append(out, newWarning(OutOfService, path, "return a worker of another zone to service first", "no worker is left"))
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
func quotaWarnings(after *standing.State, hosts ListedHosts, i Intent) []Warning {
	var out []Warning
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
		out = append(out, newWarning(LimitExceeded, quotaPath(i, "cores"), "lower the quotas of cores", "the teams' quotas sum to %d cores, the workers have %d", cores, coreCapacity))
	}
	slots, slotCapacity := 0, 0
	for _, team := range after.Customers[i.Customer].Teams {
		slots += team.Slots * len(hosts.EntryHosts)
	}
	for _, b := range hosts.Backends {
		if b.Customer == i.Customer {
			slotCapacity += b.Slots
		}
	}
	if slots > slotCapacity {
		out = append(out, newWarning(LimitExceeded, quotaPath(i, "slots"), "lower the quotas of slots, which hold for each entry host",
			"the teams of customer %s may hold %d slots over %d entry hosts, its backend servers have %d",
			i.Customer, slots, len(hosts.EntryHosts), slotCapacity))
	}
	return out
}

// roleWarnings warns if a drain takes the last worker or entry host out of
// service.
func roleWarnings(after *standing.State, hosts ListedHosts, i Intent) []Warning {
	if i.Verb != Drain {
		return nil
	}
	var workers []string
	for _, w := range hosts.Workers {
		workers = append(workers, w.Name)
	}
	var out []Warning
	if takesLast(after, workers, i.Host) {
		out = append(out, newWarning(OutOfService, subjectPath(i), "return another worker to service first", "no worker is left"))
	}
	if takesLast(after, hosts.EntryHosts, i.Host) {
		out = append(out, newWarning(OutOfService, subjectPath(i), "return another entry host to service first", "no entry host is left"))
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
