package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

// effects describes what the intent changes, one sentence for each rule.
func effects(before, after *standing.State, hosts ListedHosts, i Intent) []string {
	switch i.Verb {
	case RemoveCustomer:
		return []string{fmt.Sprintf("refuses all new work of customer %s", i.Customer)}
	case Drain:
		return hostEffects(hosts, i, "sends no new work to")
	case Undrain:
		return hostEffects(hosts, i, "sends new work again to")
	case EvacuateZone:
		return zoneEffects(hosts, i, "sends no new work to")
	case ReadmitZone:
		return zoneEffects(hosts, i, "sends new work again to")
	}
	out := changedRules(before.Customers[i.Customer], after.Customers[i.Customer])
	for n := range out {
		out[n] = fmt.Sprintf("customer %s: %s", i.Customer, out[n])
	}
	if _, known := before.Customers[i.Customer]; !known {
		out = append([]string{fmt.Sprintf("accepts work of the new customer %s", i.Customer)}, out...)
	}
	if len(out) == 0 {
		out = append(out, "changes nothing")
	}
	return out
}

func hostEffects(hosts ListedHosts, i Intent, effect string) []string {
	out := []string{fmt.Sprintf("%s %s", effect, i.Host)}
	if !hosts.Contains(i.Host) {
		out = append(out, fmt.Sprintf("the host list does not name %s", i.Host))
	}
	if b, ok := hosts.Backend(i.Host); ok && i.Verb == Drain {
		out = append(out, fmt.Sprintf("takes %d slots from customer %s", b.Slots, b.Customer))
	}
	return out
}

func zoneEffects(hosts ListedHosts, i Intent, effect string) []string {
	backends, slots, workers, cores := 0, 0, 0, 0
	for _, b := range hosts.Backends {
		if b.Zone == i.Zone {
			backends, slots = backends+1, slots+b.Slots
		}
	}
	for _, w := range hosts.Workers {
		if w.Zone == i.Zone {
			workers, cores = workers+1, cores+w.Cores
		}
	}
	return []string{
		fmt.Sprintf("%s zone %s: %d backend servers with %d slots, %d workers with %d cores", effect, i.Zone, backends, slots, workers, cores),
		fmt.Sprintf("entry hosts in zone %s go on serving their callers", i.Zone),
	}
}

// inFlight describes what the intent does to work that has already started.
func inFlight(i Intent) string {
	switch i.Verb {
	case Drain, Undrain:
		return "requests and tasks in flight on the host run to completion"
	case EvacuateZone, ReadmitZone:
		return "requests and tasks in flight in the zone run to completion"
	case RemoveCustomer:
		return "requests and jobs in flight run to completion; new ones are refused without being run"
	default:
		return "requests and tasks in flight continue; the new rules apply to work that is admitted or started afterwards"
	}
}

// changedRules describes each rule that differs. Unset rules are compared by
// their defaults.
func changedRules(before, after standing.Customer) []string {
	old, current := rulesByName(before), rulesByName(after)
	names := maps.Clone(old)
	maps.Copy(names, current)
	var out []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if old[name] != current[name] {
			out = append(out, fmt.Sprintf("%s from %s to %s", name, orUnset(old[name]), orUnset(current[name])))
		}
	}
	return out
}

func orUnset(value string) string {
	if value == "" {
		return "unset"
	}
	return value
}

// rulesByName returns the value of each rule by its JSON path, such as
// "eject.max_ms".
func rulesByName(c standing.Customer) map[string]string {
	// Encoding cannot fail: rules hold only types that JSON can encode.
	data, _ := json.Marshal(c.WithDefaults())
	var tree map[string]any
	_ = json.Unmarshal(data, &tree)
	out := map[string]string{}
	collectRules(out, "", tree)
	return out
}

func collectRules(out map[string]string, prefix string, tree map[string]any) {
	for name, value := range tree {
		if branch, ok := value.(map[string]any); ok {
			collectRules(out, prefix+name+".", branch)
			continue
		}
		out[prefix+name] = fmt.Sprint(value)
	}
}
