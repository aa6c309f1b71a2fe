package configcheck

import (
	"encoding/json"
	"errors"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// RoutesInput is a configuration of routes and what it is checked against.
type RoutesInput struct {
	// Document is the configuration as it is written.
	Document []byte
	// Config is the document as the daemon decodes it. If the daemon cannot decode
	// it, Refused is the reason.
	Config  *fleet.Config
	Refused error
	// Services are the names of the services that the document defines. If they
	// cannot be decoded, ServicesUnknown is the reason.
	Services        []string
	ServicesUnknown string
	// Words maps the names of the fields of Config to those in the document.
	Words map[string]string
	// Format is the type that the daemon decodes the document into.
	Format reflect.Type
	// MinBodyBytes is the size of a job of one step with the longest spec that the
	// daemon accepts. MaxHeaderBytes is the daemon's own bound of a request's header.
	MinBodyBytes   int64
	MaxHeaderBytes int
	// InForce is the document in force, or nil if it is not known for the reason
	// InForceUnknown.
	InForce        []byte
	InForceVersion int64
	InForceUnknown string
}

// routesCheck collects the report on a configuration of routes.
type routesCheck struct {
	*check
	in RoutesInput
}

// CheckRoutes checks a configuration of routes. It returns an error if the document
// is not JSON, with or without comments.
func CheckRoutes(in RoutesInput) (Report, error) {
	// A comment on the last line must be terminated by a newline.
	doc, err := parse(append(slices.Clone(in.Document), '\n'), nil)
	if err != nil {
		return Report{}, err
	}
	c := &routesCheck{in: in, check: &check{doc: doc, report: Report{Findings: []Finding{}, Changes: []Change{}}}}
	c.addReplaced()
	switch {
	case in.Refused != nil:
		c.addRefused()
		c.addMissing("the checks of values", "the daemon cannot decode the document")
		c.addMissing("the difference from the version in force", "the daemon cannot decode the document")
	default:
		c.checkRoutes()
		c.checkServices()
		c.checkBounds()
		c.compare()
	}
	c.finish()
	return c.report, nil
}

// addRefused adds the reason for which the daemon cannot decode the document.
func (c *routesCheck) addRefused() {
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(c.in.Refused, &wrongType):
		at, line := c.doc.position(c.doc.pathAt(int(wrongType.Offset)))
		c.addAt(Invalid, at, line, "set it to "+describeType(wrongType.Type), wrongType.Value+" is not allowed here")
	case errors.As(c.in.Refused, &syntax):
		c.addAt(Invalid, "", c.doc.lineOf(int(syntax.Offset)-1), "write JSON without comments and trailing commas", c.in.Refused.Error())
	default:
		c.add(Invalid, nil, "correct the document", "%v", c.in.Refused)
	}
}

// addReplaced adds the members that a later one with the same name replaces.
// Unknown fields are no finding, because the format has fields that the daemon does
// not use.
func (c *routesCheck) addReplaced() {
	c.doc.walk(c.in.Format, func(v visited) {
		if v.later != nil {
			c.addAt(NeverMatches, pointer(v.path), c.doc.lineOf(v.Name.StartOffset), "remove one of the two",
				"line "+strconv.Itoa(c.doc.lineOf(v.later.Name.StartOffset))+" sets the same entry again and replaces this one")
		}
	})
}

// word returns the name in the document of a field of fleet.Config.
func (c *routesCheck) word(field string) string { return c.in.Words[field] }

// addRoute adds a finding about a field of a route.
func (c *routesCheck) addRoute(kind Kind, route int, field, fix, format string, args ...any) {
	c.add(kind, []string{c.word("Routes"), strconv.Itoa(route), c.word(field)}, fix, format, args...)
}

func (c *routesCheck) checkRoutes() {
	routes := c.in.Config.Routes
	if len(routes) == 0 {
		c.add(OutOfService, []string{c.word("Routes")}, "add a route", "there is no route, so that every request is refused")
	}
	for i, r := range routes {
		c.checkMatches(i, r)
		c.checkRouteLimits(i, r)
		if first := slices.IndexFunc(routes, func(o fleet.Route) bool { return o.Name == r.Name }); first < i {
			c.addRoute(Limit, i, "Name", "give each route a name of its own",
				"route %d has the same name %q, so that both share their counts of jobs", first, r.Name)
		}
	}
}

// checkMatches adds a finding if no request can match the route.
func (c *routesCheck) checkMatches(i int, r fleet.Route) {
	if _, _, err := net.SplitHostPort(r.Host); err == nil {
		c.addRoute(NeverMatches, i, "Host", "remove the port", "host %q has a port, and the port of a request is not compared", r.Host)
	}
	if r.Host == "" {
		c.addRoute(NeverMatches, i, "Host", "name the host", "the host is empty, and requests name a host")
	}
	if r.Prefix != "" && r.Prefix[0] != '/' {
		c.addRoute(NeverMatches, i, "Prefix", "start it with /", "prefix %q does not start with /, and paths do", r.Prefix)
	}
	for j, other := range c.in.Config.Routes {
		if other.Host != r.Host {
			continue
		}
		switch {
		case other.Prefix == r.Prefix && j < i:
			c.addRoute(NeverMatches, i, "Prefix", "remove one of the two, or change a prefix",
				"route %d (%q) has the same host and prefix and gets all requests", j, other.Name)
			return
		case r.Prefix == "" && other.Prefix == "/":
			c.addRoute(NeverMatches, i, "Prefix", "remove one of the two, or change a prefix",
				"route %d (%q) has the same host and the longer prefix /, with which all paths start", j, other.Name)
			return
		}
	}
}

// checkRouteLimits adds limits of a route that contradict each other.
func (c *routesCheck) checkRouteLimits(i int, r fleet.Route) {
	timeout, slack, stretch := c.word("Timeout"), c.word("LatencySlack"), c.word("Stretch")
	switch {
	case r.Timeout < 0:
		c.addRoute(Limit, i, "Timeout", "remove it, or set a positive value", "%s is %v, and a negative value means no bound", timeout, r.Timeout)
	case r.Timeout > 0 && r.Timeout < r.LatencySlack:
		c.addRoute(Limit, i, "Timeout", "raise "+timeout+" or lower "+slack,
			"%s is %v, below %s, which is %v: jobs that are still on time are ended", timeout, r.Timeout, slack, r.LatencySlack)
	}
	if r.LatencySlack < 0 {
		c.addRoute(Limit, i, "LatencySlack", "set it to 0 or more", "%s is %v, below 0", slack, r.LatencySlack)
	}
	if r.Stretch < 1 {
		c.addRoute(Limit, i, "Stretch", "set it to 1 or more", "%s is %v, so that a job's objective can be shorter than its run time", stretch, r.Stretch)
	}
	if r.Stretch == 1 && r.LatencySlack == 0 {
		c.addRoute(Limit, i, "LatencySlack", "raise "+slack+" or "+stretch,
			"%s is 0 and %s is 1, so that a job's objective is its run time, which no job can meet", slack, stretch)
	}
	if r.Priority < 0 {
		c.addRoute(Limit, i, "Priority", "set it to 0 or more", "%s is %d, and 0 is the most urgent", c.word("Priority"), r.Priority)
	}
	// The decoded number of attempts is at least 1, whatever the document says.
	written, _ := c.doc.value(c.word("Routes"), strconv.Itoa(i), c.word("MaxAttempts"))
	if literal, ok := written.Value.(hujson.Literal); ok {
		if n, err := strconv.ParseFloat(string(literal), 64); err == nil && n < 1 {
			c.addRoute(Limit, i, "MaxAttempts", "set it to 1 or more, or remove it",
				"%s is %s, below 1, and %d takes effect", c.word("MaxAttempts"), literal, r.MaxAttempts)
		}
	}
}

// checkServices adds the services that routes use but the document does not define,
// and the reverse.
func (c *routesCheck) checkServices() {
	if c.in.ServicesUnknown != "" {
		c.addMissing("the comparison of routes with services", c.in.ServicesUnknown)
		return
	}
	for i, r := range c.in.Config.Routes {
		if !slices.Contains(c.in.Services, r.Service) {
			c.addRoute(NeverMatches, i, "Service", "define the service, or name a defined one", "service %q is not defined", r.Service)
		}
	}
	for i, name := range c.in.Services {
		path := []string{c.word("Services"), strconv.Itoa(i), c.word("Name")}
		if first := slices.Index(c.in.Services, name); first < i {
			c.add(NeverMatches, path, "remove one of the two", "service %q is defined by entry %d already", name, first)
			continue
		}
		if !slices.ContainsFunc(c.in.Config.Routes, func(r fleet.Route) bool { return r.Service == name }) {
			c.add(NeverMatches, path, "add a route to it, or remove it", "no route leads to service %q", name)
		}
	}
}

// checkBounds adds bounds of requests that contradict what the daemon accepts.
func (c *routesCheck) checkBounds() {
	limits := c.in.Config.Limits
	for _, b := range []struct {
		field string
		value int64
	}{{"HeaderBytes", int64(limits.HeaderBytes)}, {"BodyBytes", limits.BodyBytes}} {
		if b.value < 0 {
			c.add(Limit, []string{c.word("Limits"), c.word(b.field)}, "remove it, or set a positive value",
				"%s is %d, and a negative value means no bound", c.word(b.field), b.value)
		}
	}
	if limits.HeaderBytes > c.in.MaxHeaderBytes {
		c.add(Limit, []string{c.word("Limits"), c.word("HeaderBytes")}, "set it to at most "+strconv.Itoa(c.in.MaxHeaderBytes),
			"%s is %d, above the bound of %d that hosts have in any case", c.word("HeaderBytes"), limits.HeaderBytes, c.in.MaxHeaderBytes)
	}
	if limits.BodyBytes > 0 && limits.BodyBytes < c.in.MinBodyBytes {
		c.add(Limit, []string{c.word("Limits"), c.word("BodyBytes")}, "set it to at least "+strconv.FormatInt(c.in.MinBodyBytes, 10),
			"%s is %d, but a job of one step with the longest spec has %d bytes", c.word("BodyBytes"), limits.BodyBytes, c.in.MinBodyBytes)
	}
}

// compare adds the difference from the version in force.
func (c *routesCheck) compare() {
	if c.in.InForce == nil {
		c.addMissing("the difference from the version in force", c.in.InForceUnknown)
		return
	}
	c.report.Base = &c.in.InForceVersion
	if version := c.in.Config.Version; version <= c.in.InForceVersion {
		c.add(Invalid, []string{c.word("Version")}, "set it to "+strconv.FormatInt(c.in.InForceVersion+1, 10)+" or more",
			"version %d is not above version %d in force, and hosts ignore it", version, c.in.InForceVersion)
	}
	paths := map[string][]string{}
	old, current := map[string]any{}, map[string]any{}
	flatten(old, "", c.keyByName(decodeTree(c.in.InForce), "", nil, map[string][]string{}))
	flatten(current, "", c.keyByName(decodeTree(c.in.Document), "", nil, paths))
	c.addDifference(old, current, func(field string) []string {
		// A removed field has the position of the entry that held it.
		for paths[field] == nil && field != "" {
			field = field[:strings.LastIndex(field, "/")]
		}
		return paths[field]
	})
}

// keyByName returns a JSON value with objects in place of arrays, so that entries
// are compared by name instead of by position. Elements without a name, or with the
// name of an earlier one, have their position as key. It adds the path in the
// document of each entry to paths, by the JSON pointer in the result.
func (c *routesCheck) keyByName(tree any, at string, path []string, paths map[string][]string) any {
	paths[at] = path
	out := map[string]any{}
	add := func(key, name string, value any) {
		out[key] = c.keyByName(value, at+pointer([]string{key}), append(slices.Clone(path), name), paths)
	}
	switch value := tree.(type) {
	case map[string]any:
		for name, member := range value {
			add(name, name, member)
		}
	case []any:
		for i, element := range value {
			position := strconv.Itoa(i)
			object, _ := element.(map[string]any)
			key, _ := object[c.word("Name")].(string)
			if _, used := out[key]; key == "" || used {
				key = "#" + position
			}
			add(key, position, element)
		}
	default:
		return tree
	}
	return out
}
