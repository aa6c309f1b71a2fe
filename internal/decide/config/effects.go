package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

// effects says what the intent changes, one sentence for each rule.
func effects(before, after *standing.State, site ListedHosts, i Intent) []string {
	switch i.Verb {
	case RemoveCustomer:
		return []string{fmt.Sprintf("refuses all new work of customer %s", i.Customer)}
	case Drain:
		return hostEffects(site, i, "sends no new work to")
	case Undrain:
		return hostEffects(site, i, "sends new work again to")
	}
	out := difference(before.Customers[i.Customer], after.Customers[i.Customer])
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

func hostEffects(site ListedHosts, i Intent, what string) []string {
	out := []string{fmt.Sprintf("%s %s", what, i.Host)}
	if !site.names(i.Host) {
		out = append(out, fmt.Sprintf("the host list does not name %s", i.Host))
	}
	if b, ok := site.backend(i.Host); ok && i.Verb == Drain {
		out = append(out, fmt.Sprintf("takes %d slots from customer %s", b.Slots, b.Customer))
	}
	return out
}

// inFlight says what the intent does to work that has begun.
func inFlight(i Intent) string {
	switch i.Verb {
	case Drain, Undrain:
		return "requests and tasks in flight on the host go on to their end"
	case RemoveCustomer:
		return "requests and jobs in flight go on to their end; new ones are refused as not run"
	default:
		return "requests and tasks in flight go on; the new rules hold for work that is admitted or started after them"
	}
}

// difference lists the rules that differ, with their defaults filled in.
func difference(before, after standing.Customer) []string {
	was, is := flatten(before), flatten(after)
	names := maps.Clone(was)
	maps.Copy(names, is)
	var out []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if was[name] != is[name] {
			out = append(out, fmt.Sprintf("%s from %s to %s", name, orUnset(was[name]), orUnset(is[name])))
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

// flatten returns the rules by dotted name.
func flatten(c standing.Customer) map[string]string {
	// Rules hold only types that JSON can encode.
	data, _ := json.Marshal(c.WithDefaults())
	var tree map[string]any
	_ = json.Unmarshal(data, &tree)
	out := map[string]string{}
	walk(out, "", tree)
	return out
}

func walk(out map[string]string, prefix string, tree map[string]any) {
	for name, value := range tree {
		if branch, ok := value.(map[string]any); ok {
			walk(out, prefix+name+".", branch)
			continue
		}
		out[prefix+name] = fmt.Sprint(value)
	}
}
