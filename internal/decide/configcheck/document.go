package configcheck

import (
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// maxDepth bounds the depth of the entries that have a position. An intent has
// entries of at most four levels, such as rules.teams.rigs.slots.
const maxDepth = 8

// document is a parsed JSON document with the position of each entry.
type document struct {
	root hujson.Value
	// prefix is the path of the document's root in the intent that it is part of.
	prefix []string
	// newlines are the offsets of the newlines, in order.
	newlines []int
	// entries are the members of all objects and the elements of all arrays by JSON
	// pointer. Of several members with the same name the last one counts. Elements
	// have their value in place of a name.
	entries map[string]hujson.ObjectMember
}

func parse(raw []byte, prefix []string) (*document, error) {
	root, err := hujson.Parse(raw)
	if err != nil {
		return nil, err
	}
	d := &document{root: root, prefix: prefix, entries: map[string]hujson.ObjectMember{}}
	for offset, b := range raw {
		if b == '\n' {
			d.newlines = append(d.newlines, offset)
		}
	}
	d.index("", root, 0)
	return d, nil
}

func (d *document) index(at string, v hujson.Value, depth int) {
	if depth == maxDepth {
		return
	}
	add := func(name string, m hujson.ObjectMember) {
		child := at + pointer([]string{name})
		d.entries[child] = m
		d.index(child, m.Value, depth+1)
	}
	switch container := v.Value.(type) {
	case *hujson.Object:
		for _, m := range container.Members {
			add(nameOf(m), m)
		}
	case *hujson.Array:
		for n, element := range container.Elements {
			add(strconv.Itoa(n), hujson.ObjectMember{Name: element, Value: element})
		}
	}
}

// lineOf returns the line number of a byte offset, counted from 1.
func (d *document) lineOf(offset int) int {
	before, _ := slices.BinarySearch(d.newlines, offset)
	return 1 + before
}

// below returns the path in the document of a path in the intent. It is empty if
// the document is a part of the intent that does not hold the path.
func (d *document) below(path []string) []string {
	if len(path) < len(d.prefix) || !slices.Equal(path[:len(d.prefix)], d.prefix) {
		return nil
	}
	return path[len(d.prefix):]
}

// position returns the JSON pointer and the line of the entry at a path in the
// intent. The line of an entry that the document lacks is that of the innermost
// object that would hold it.
func (d *document) position(path []string) (string, int) {
	path = d.below(path)
	for n := len(path); n > 0; n-- {
		if m, ok := d.entries[pointer(path[:n])]; ok {
			return pointer(path), d.lineOf(m.Name.StartOffset)
		}
	}
	return pointer(path), d.lineOf(d.root.StartOffset)
}

// value returns the value at a path in the intent, or false if the document does
// not set it.
func (d *document) value(path ...string) (hujson.Value, bool) {
	path = d.below(path)
	if len(path) == 0 {
		return d.root, true
	}
	m, ok := d.entries[pointer(path)]
	return m.Value, ok
}

func nameOf(m hujson.ObjectMember) string { return m.Name.Value.(hujson.Literal).String() }

// pathAt returns the path in the intent of the innermost entry around a byte
// offset.
func (d *document) pathAt(offset int) []string {
	path := slices.Clone(d.prefix)
	value := d.root
	for {
		name, found := "", false
		switch container := value.Value.(type) {
		case *hujson.Object:
			for _, m := range container.Members {
				if around(m.Value, offset) {
					name, value, found = nameOf(m), m.Value, true
					break
				}
			}
		case *hujson.Array:
			for n, element := range container.Elements {
				if around(element, offset) {
					name, value, found = strconv.Itoa(n), element, true
					break
				}
			}
		}
		if !found {
			return path
		}
		path = append(path, name)
	}
}

// around reports whether a decoder that stopped at a byte offset was in a value.
func around(v hujson.Value, offset int) bool { return v.StartOffset < offset && offset <= v.EndOffset }

// walk calls visit for each member of the objects of the document, in its order.
// The type is that of the Go value that the document is decoded into.
func (d *document) walk(typ reflect.Type, visit func(v visited)) {
	walkValue(d.root, typ, d.prefix, visit)
}

// visited is a member of an object, as walk passes it on.
type visited struct {
	hujson.ObjectMember
	path []string
	// known is false for a member without a field to be decoded into.
	known bool
	// later is the member that replaces this one, or nil.
	later *hujson.ObjectMember
}

func walkValue(v hujson.Value, typ reflect.Type, path []string, visit func(v visited)) {
	for typ != nil && typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	if typ == nil {
		return
	}
	if a, ok := v.Value.(*hujson.Array); ok && typ.Kind() == reflect.Slice {
		for n, element := range a.Elements {
			walkValue(element, typ.Elem(), append(slices.Clone(path), strconv.Itoa(n)), visit)
		}
		return
	}
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return
	}
	last := map[string]*hujson.ObjectMember{}
	for i := range o.Members {
		last[memberKey(typ, o.Members[i])] = &o.Members[i]
	}
	for i := range o.Members {
		m := &o.Members[i]
		child, known := childType(typ, nameOf(*m))
		w := visited{ObjectMember: *m, path: append(slices.Clone(path), nameOf(*m)), known: known}
		if later := last[memberKey(typ, *m)]; later != m {
			w.later = later
		}
		visit(w)
		walkValue(m.Value, child, w.path, visit)
	}
}

// memberKey returns the same key for members that are decoded into the same
// field or key of a map.
func memberKey(typ reflect.Type, m hujson.ObjectMember) string {
	if typ.Kind() == reflect.Struct {
		return strings.ToLower(nameOf(m))
	}
	return nameOf(m)
}

// childType returns the type that a member is decoded into. Fields match
// regardless of case, as in encoding/json.
func childType(typ reflect.Type, name string) (reflect.Type, bool) {
	switch typ.Kind() {
	case reflect.Map:
		return typ.Elem(), true
	case reflect.Struct:
		for i := range typ.NumField() {
			tag, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			if strings.EqualFold(tag, name) {
				return typ.Field(i).Type, true
			}
		}
	}
	return nil, false
}

// pointer returns the JSON pointer (RFC 6901) of a path.
func pointer(path []string) string {
	var b strings.Builder
	for _, name := range path {
		b.WriteString("/" + escaper.Replace(name))
	}
	return b.String()
}

// splitPointer returns the path of a JSON pointer that is not empty.
func splitPointer(at string) []string {
	path := strings.Split(at, "/")[1:]
	for n := range path {
		path[n] = unescaper.Replace(path[n])
	}
	return path
}

var (
	escaper   = strings.NewReplacer("~", "~0", "/", "~1")
	unescaper = strings.NewReplacer("~1", "/", "~0", "~")
)
