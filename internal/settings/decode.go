package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// decoder sets the fields of a struct from a JSON document and collects all
// faults that it finds.
type decoder struct {
	source string
	raw    []byte
	faults Faults
	// lines holds the line number of each field that the document sets, by path.
	lines map[string]int
}

// decode sets the fields of the struct that into points to. Faults are in the
// returned decoder.
func decode(source string, raw []byte, into any) *decoder {
	// The parser requires a newline after a comment on the last line.
	raw = append(slices.Clip(raw), '\n')
	d := &decoder{source: source, raw: raw, lines: map[string]int{}}
	doc, err := hujson.Parse(raw)
	if err != nil {
		d.faults = append(d.faults, Fault{Source: source, Reason: err.Error()})
		return d
	}
	d.decodeValue("", doc, reflect.ValueOf(into).Elem())
	return d
}

// decodeValue sets one field from a value of the document.
func (d *decoder) decodeValue(path string, v hujson.Value, into reflect.Value) {
	d.lines[path] = d.lineOf(v.StartOffset)
	object, isObject := v.Value.(*hujson.Object)
	switch {
	case into.Kind() == reflect.Struct && isObject:
		d.decodeObject(path, object, into)
	case into.Kind() == reflect.Struct:
		d.addFault(path, "must be an object, not %s", kindOf(v))
	case into.Kind() == reflect.Slice:
		d.decodeArray(path, v, into)
	default:
		d.decodeScalar(path, v, into)
	}
}

func (d *decoder) decodeObject(path string, object *hujson.Object, into reflect.Value) {
	fields := fieldsOf(into)
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		field := joinPath(path, name)
		target, known := fields[name]
		switch {
		case seen[name]:
			d.addFaultAt(member.Name.StartOffset, field, "is set twice")
		case !known:
			d.addFaultAt(member.Name.StartOffset, field, "unknown field")
		default:
			d.decodeValue(field, member.Value, target)
		}
		seen[name] = true
	}
}

// decodeArray sets a field that holds a list.
func (d *decoder) decodeArray(path string, v hujson.Value, into reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addFault(path, "must be an array, not %s", kindOf(v))
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), element, into.Index(i))
	}
}

func (d *decoder) decodeScalar(path string, v hujson.Value, into reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || kindOf(v) == "null" || json.Unmarshal(literal, into.Addr().Interface()) != nil {
		d.addFault(path, "must be %s, not %s", expectedKind(into.Kind()), describeValue(v))
	}
}

func (d *decoder) addFault(path, format string, args ...any) {
	d.faults = append(d.faults, Fault{
		Source: d.source, Line: d.lines[path], Field: path, Reason: fmt.Sprintf(format, args...),
	})
}

func (d *decoder) addFaultAt(offset int, path, reason string) {
	d.faults = append(d.faults, Fault{Source: d.source, Line: d.lineOf(offset), Field: path, Reason: reason})
}

// lineOf returns the line number of a byte offset, counted from 1.
func (d *decoder) lineOf(offset int) int {
	return 1 + bytes.Count(d.raw[:offset], []byte("\n"))
}

// fieldsOf returns the fields of a struct, keyed by their JSON names.
func fieldsOf(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, v.NumField())
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = v.Field(i)
	}
	return fields
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func expectedKind(kind reflect.Kind) string {
	if kind == reflect.String {
		return "a string"
	}
	return "a whole number"
}

// kindOf describes the JSON type of a value for use in a fault.
func kindOf(v hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	default:
		return "a boolean"
	}
}

// maxQuotedBytes is the length of the longest literal that a fault quotes.
const maxQuotedBytes = 40

func describeValue(v hujson.Value) string {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' || len(literal) > maxQuotedBytes {
		return kindOf(v)
	}
	if literal.Kind() == '"' {
		return "the string " + strconv.Quote(literal.String())
	}
	return string(literal)
}
