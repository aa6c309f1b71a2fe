// Package configcheck checks a change of the standing configuration before it is
// sent to an entry host, and a configuration of routes before the operators of the
// users' platform write it. It does no I/O: the document, the version in force and
// the host list are passed in.
package configcheck

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/httpjson"
)

const (
	// maxFindings is the maximum number of findings in a report.
	maxFindings = 100
	// maxChanges is the maximum number of changes in a report.
	maxChanges = 200
	// maxTextBytes is the maximum length of each text in a report. Names in a
	// document may be as long as the document.
	maxTextBytes = 512
)

// Kind classifies a finding.
type Kind string

// The kinds of findings, in the order of a report.
const (
	// Invalid is an entry that the daemon refuses.
	Invalid Kind = "error"
	// NeverMatches is an entry that has no effect, because nothing can match it.
	NeverMatches = Kind(config.NeverMatches)
	// Limit is a limit that contradicts another one or the capacity.
	Limit = Kind(config.LimitExceeded)
	// OutOfService is a change that leaves too little in service.
	OutOfService = Kind(config.OutOfService)
)

var kindOrder = []Kind{Invalid, NeverMatches, Limit, OutOfService}

// Finding is one fault of the document.
type Finding struct {
	Kind Kind `json:"kind"`
	// Path is the JSON pointer of the entry, or empty for the whole document.
	Path string `json:"path"`
	// Line is the line of the entry or, if the document lacks it, of the object
	// that would hold it.
	Line int `json:"line"`
	// Text describes the fault.
	Text string `json:"text"`
	// Fix says what to change.
	Fix string `json:"fix"`
}

// Input is what a document is checked against.
type Input struct {
	// Document is JSON without comments: an intent or, if Customer is set, the
	// rules of a customer.
	Document []byte
	Customer string
	// MaxBytes is the size of the largest document that an entry host accepts.
	MaxBytes int
	// InForce is the version in force, or nil if it is not known for the reason
	// InForceUnknown.
	InForce        *standing.State
	InForceUnknown string
	// Hosts are the listed hosts. If none is listed, HostsUnknown is the reason.
	Hosts        config.ListedHosts
	HostsUnknown string
	// RunMs is the expected run time of the customer's requests in milliseconds,
	// or 0 if it is not known.
	RunMs int64
}

// Report is the result of a check. Its contents are sorted and bounded.
type Report struct {
	Findings []Finding `json:"findings"`
	// FindingsOmitted is the number of findings beyond those listed.
	FindingsOmitted int `json:"findings_omitted,omitempty"`
	// Base is the version in force that Changes start from, or nil.
	Base *int64 `json:"base,omitempty"`
	// Changes are the differences from the version in force.
	Changes []Change `json:"changes"`
	// ChangesOmitted is the number of changes beyond those listed.
	ChangesOmitted int `json:"changes_omitted,omitempty"`
	// Missing names the checks that were not made, with the reason.
	Missing []string `json:"missing,omitempty"`
}

// check collects the report on one document.
type check struct {
	Input
	doc    *document
	intent config.Intent
	report Report
}

// Check checks a document. It returns an error if the document is not JSON.
func Check(in Input) (Report, error) {
	var prefix []string
	if in.Customer != "" {
		prefix = []string{"rules"}
	}
	doc, err := parse(in.Document, prefix)
	if err != nil {
		return Report{}, err
	}
	c := &check{Input: in, doc: doc, report: Report{Findings: []Finding{}, Changes: []Change{}}}
	if c.decode() {
		c.checkIntent()
	} else {
		c.addMissing("the checks of values", "the document cannot be decoded")
		c.addMissing("the difference from the version in force", "the document cannot be decoded")
	}
	c.finish()
	return c.report, nil
}

// decode sets the intent from the document. It returns false if the values of
// the document are not usable.
func (c *check) decode() bool {
	if c.MaxBytes > 0 && len(c.Document) > c.MaxBytes {
		c.add(Invalid, nil, "shorten the document", "the document has %d bytes, the maximum is %d", len(c.Document), c.MaxBytes)
		return false
	}
	var target any = &c.intent
	if c.Customer != "" {
		// The operator's name is a flag of the command that plans the rules.
		c.intent = config.Intent{Operator: "-", Verb: config.SetCustomer, Customer: c.Customer, Rules: &standing.Customer{}}
		target = c.intent.Rules
	}
	strictErr := httpjson.DecodeStrict(bytes.NewReader(c.Document), target)
	// A strict decoder reports only its first error, which hides a wrong type
	// after an unknown field.
	err := json.Unmarshal(c.Document, target)
	if unknown := c.addUnused(reflect.TypeOf(target)); err == nil && unknown == 0 {
		err = strictErr
	}
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrongType):
		c.add(Invalid, c.doc.pathAt(int(wrongType.Offset)), "set it to "+describeType(wrongType.Type), "%s is not allowed here", wrongType.Value)
	case err != nil:
		c.add(Invalid, nil, "correct the document", "%v", err)
	}
	return err == nil
}

// addUnused adds the members of the document that are decoded into nothing:
// unknown fields, and members that a later one with the same name replaces. It
// returns the number of unknown fields.
func (c *check) addUnused(typ reflect.Type) int {
	// The daemon refuses unknown fields of an intent. The rules of a customer are
	// decoded by the command that plans them, which drops unknown fields.
	kind := Invalid
	if c.Customer != "" {
		kind = NeverMatches
	}
	unknown := 0
	c.doc.walk(typ, func(v visited) {
		path, line := pointer(c.doc.below(v.path)), c.doc.lineOf(v.Name.StartOffset)
		if !v.known {
			unknown++
			c.addAt(kind, path, line, "remove the field, or correct its name", "the field is not known")
		}
		if v.later != nil {
			c.addAt(NeverMatches, path, line, "remove one of the two",
				fmt.Sprintf("line %d sets the same entry again and replaces this one", c.doc.lineOf(v.later.Name.StartOffset)))
		}
	})
	return unknown
}

func (c *check) checkIntent() {
	result := config.Inspect(c.InForce, c.Hosts, c.intent)
	for _, p := range result.Errors {
		c.add(Invalid, p.Path, p.Fix, "%s", p.Text)
	}
	for _, w := range result.Warnings {
		c.add(Kind(w.Kind), w.Path, w.Fix, "%s", w.Text)
	}
	switch {
	case c.Hosts.AnyListed() && len(result.Errors) == 0:
		c.checkHosts()
	case c.Hosts.AnyListed():
		c.addMissing("the checks against the host list", "an entry host would refuse the intent")
	default:
		c.addMissing("the checks against the host list", c.HostsUnknown)
	}
	c.checkZeros()
	if c.intent.Verb == config.SetCustomer && result.After != nil {
		c.checkTimes(c.intent.Rules.WithDefaults())
	}
	switch {
	case c.InForce == nil:
		c.addMissing("the difference from the version in force", c.InForceUnknown)
	case result.After == nil:
		c.addMissing("the difference from the version in force", "an entry host would refuse the intent")
	default:
		c.report.Base = &c.InForce.Version
		c.addChanges(result.After)
	}
}

// checkHosts adds the entries for hosts that are not listed, or that do not serve
// the customer.
func (c *check) checkHosts() {
	switch c.intent.Verb {
	case config.Drain:
		if !c.Hosts.Contains(c.intent.Host) {
			c.add(NeverMatches, []string{"host"}, "name a listed host", "the host list does not name %q", c.intent.Host)
		}
	case config.SetWeight:
		c.checkWeight([]string{"host"}, c.intent.Host)
	case config.SetCustomer:
		if c.intent.Rules == nil {
			return
		}
		for name := range c.intent.Rules.Weights {
			c.checkWeight([]string{"rules", "weights", name}, name)
		}
	}
}

func (c *check) checkWeight(path []string, backend string) {
	b, listed := c.Hosts.Backend(backend)
	switch {
	case !listed:
		c.add(NeverMatches, path, "name a listed backend server of the customer", "the host list names no backend server %q", backend)
	case b.Customer != c.intent.Customer:
		c.add(NeverMatches, path, "name a backend server of the customer",
			"backend server %q belongs to customer %q and never serves %q", backend, b.Customer, c.intent.Customer)
	}
}

// checkZeros adds the rules that are set to zero but take effect with their
// defaults.
func (c *check) checkZeros() {
	if c.intent.Verb == config.SetTeam && c.intent.TeamRules != nil {
		c.checkUnset([]string{"team_rules"}, standing.Team{Weight: 1})
	}
	if c.intent.Verb != config.SetCustomer || c.intent.Rules == nil {
		return
	}
	rules := c.intent.Rules.WithDefaults()
	c.checkUnset([]string{"rules"}, rules)
	for name := range rules.Teams {
		c.checkUnset([]string{"rules", "teams", name}, standing.Team{Weight: 1})
	}
}

// checkTimes adds times that contradict each other.
func (c *check) checkTimes(rules standing.Customer) {
	if rules.HorizonMs < rules.MaxDeadlineMs {
		path := []string{"rules", "horizon_ms"}
		if _, ok := c.doc.value(path...); !ok {
			path = []string{"rules", "max_deadline_ms"}
		}
		c.add(Limit, path, fmt.Sprintf("set horizon_ms to at least %d, or lower max_deadline_ms", rules.MaxDeadlineMs),
			"horizon_ms is %d, below max_deadline_ms, which is %d: a request that is sent again after its deadline may not be recognized",
			rules.HorizonMs, rules.MaxDeadlineMs)
	}
	if c.RunMs == 0 {
		c.addMissing("the comparison of deadlines with the run time", "the expected run time is not given")
	}
	for _, d := range []struct {
		name  string
		value int64
	}{{"deadline_ms", rules.DeadlineMs}, {"max_deadline_ms", rules.MaxDeadlineMs}} {
		if d.value < c.RunMs {
			c.add(Limit, []string{"rules", d.name}, fmt.Sprintf("set it to more than %d", c.RunMs),
				"%s is %d, below the expected run time of %d ms", d.name, d.value, c.RunMs)
		}
	}
}

// checkUnset adds the entries of the object at path that are set to zero but
// take effect with the default, because zero means unset.
func (c *check) checkUnset(path []string, effective any) {
	values := map[string]any{}
	flatten(values, "", toTree(effective))
	if value, ok := c.doc.value(path...); ok {
		c.checkUnsetIn(value, path, nil, values)
	}
}

func (c *check) checkUnsetIn(v hujson.Value, path, below []string, effective map[string]any) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return
	}
	for _, m := range o.Members {
		name := append(slices.Clone(below), nameOf(m))
		used, known := effective[pointer(name)]
		if literal, ok := m.Value.Value.(hujson.Literal); ok && known && isZero(literal) && fmt.Sprint(used) != "0" {
			c.add(Limit, append(slices.Clone(path), name...), "remove it, or set the value that is meant",
				"%s means unset, so that the default applies: %v", literal, used)
		}
		c.checkUnsetIn(m.Value, path, name, effective)
	}
}

// isZero reports whether a literal is the number zero or an empty string.
func isZero(l hujson.Literal) bool {
	if l.Kind() == '"' {
		return l.String() == ""
	}
	f, err := strconv.ParseFloat(string(l), 64)
	return err == nil && f == 0
}

func (c *check) add(kind Kind, path []string, fix, format string, args ...any) {
	at, line := c.doc.position(path)
	c.addAt(kind, at, line, fix, fmt.Sprintf(format, args...))
}

func (c *check) addAt(kind Kind, path string, line int, fix, text string) {
	c.report.Findings = append(c.report.Findings, Finding{kind, cut(path), line, cut(text), cut(fix)})
}

func (c *check) addMissing(what, reason string) {
	c.report.Missing = append(c.report.Missing, cut(what+": "+reason))
}

// finish sorts and bounds the report.
func (c *check) finish() {
	r := &c.report
	slices.SortFunc(r.Findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(slices.Index(kindOrder, a.Kind), slices.Index(kindOrder, b.Kind)),
			strings.Compare(a.Path, b.Path), cmp.Compare(a.Line, b.Line), strings.Compare(a.Text, b.Text),
		)
	})
	r.FindingsOmitted = max(0, len(r.Findings)-maxFindings)
	r.Findings = r.Findings[:len(r.Findings)-r.FindingsOmitted]
	r.ChangesOmitted = max(0, len(r.Changes)-maxChanges)
	r.Changes = r.Changes[:len(r.Changes)-r.ChangesOmitted]
}

// cut shortens a text to maxTextBytes.
func cut(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
}

// describeType describes the JSON values that can be decoded into a type.
func describeType(typ reflect.Type) string {
	switch typ.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Slice:
		return "a list"
	default:
		return "an object"
	}
}
