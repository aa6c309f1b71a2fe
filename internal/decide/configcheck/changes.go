package configcheck

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

// Action is how a field differs from the version in force.
type Action string

// The actions.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is one field that differs from the version in force.
type Change struct {
	// Field is the JSON pointer of the field in the standing configuration.
	Field  string `json:"field"`
	Action Action `json:"action"`
	// Old and New are the values in effect. Unset rules have their defaults.
	Old any `json:"old,omitempty"`
	New any `json:"new,omitempty"`
	// Path and Line are the position of the entry in the document.
	Path string `json:"path"`
	Line int    `json:"line"`
}

// addChanges adds the differences between the version in force and the state
// after the intent, in order of the field.
func (c *check) addChanges(after *standing.State) {
	c.addDifference(fields(c.InForce), fields(after), c.entryOf)
}

// addDifference adds the differences between two sets of fields, in order of the
// field. entryOf returns the path of the entry in the document that sets a field.
func (c *check) addDifference(old, current map[string]any, entryOf func(field string) []string) {
	all := maps.Clone(old)
	maps.Copy(all, current)
	for _, field := range slices.Sorted(maps.Keys(all)) {
		was, before := old[field]
		is, now := current[field]
		if before && now && was == is {
			continue
		}
		change := Change{Field: cut(field), Action: Changed, Old: shorten(was), New: shorten(is)}
		if !before {
			change.Action = Added
		} else if !now {
			change.Action = Removed
		}
		path, line := c.doc.position(entryOf(field))
		change.Path, change.Line = cut(path), line
		c.report.Changes = append(c.report.Changes, change)
	}
}

// entryOf returns the path in the intent of the entry that changes a field.
func (c *check) entryOf(field string) []string {
	path := splitPointer(field)
	switch c.intent.Verb {
	case config.SetCustomer:
		return append([]string{"rules"}, path[2:]...)
	case config.SetTeam:
		return append([]string{"team_rules"}, path[min(4, len(path)):]...)
	case config.RemoveTeam:
		return []string{"team"}
	case config.SetWeight:
		return []string{"weight"}
	case config.Drain, config.Undrain:
		return []string{"host"}
	case config.EvacuateZone, config.ReadmitZone:
		return []string{"zone"}
	default:
		return []string{"customer"}
	}
}

// fields returns the fields of a state that operators set, by JSON pointer. Unset
// rules of customers have their defaults.
func fields(s *standing.State) map[string]any {
	out := map[string]any{}
	for name, rules := range s.Customers {
		flatten(out, pointer([]string{"customers", name}), toTree(rules.WithDefaults()))
	}
	for name, d := range s.Drains {
		flatten(out, pointer([]string{"drains", name}), map[string]any{"operator": d.Operator, "reason": d.Reason})
	}
	for zone, e := range s.Evacuations {
		flatten(out, pointer([]string{"evacuations", zone}), map[string]any{"operator": e.Operator, "reason": e.Reason})
	}
	return out
}

// toTree returns a value as its JSON form decodes. Numbers keep their text.
func toTree(v any) any {
	// Encoding cannot fail: rules hold only types that JSON can encode.
	data, _ := json.Marshal(v)
	return decodeTree(data)
}

// decodeTree decodes valid JSON. Numbers keep their text.
func decodeTree(data []byte) any {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var tree any
	_ = dec.Decode(&tree)
	return tree
}

// flatten adds the values below prefix to out, by JSON pointer. An empty object
// is a value.
func flatten(out map[string]any, prefix string, tree any) {
	object, ok := tree.(map[string]any)
	switch {
	case !ok:
		out[prefix] = tree
	case len(object) == 0:
		out[prefix] = struct{}{}
	}
	for name, value := range object {
		flatten(out, prefix+pointer([]string{name}), value)
	}
}

// shorten bounds the length of a value.
func shorten(v any) any {
	if text, ok := v.(string); ok {
		return cut(text)
	}
	return v
}
