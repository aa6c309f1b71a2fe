package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
)

// Bounds of the numeric settings.
const (
	minPollMs      = 100
	maxPollMs      = 60_000
	minBodyBytes   = 1 << 10
	maxBodyBytes   = 64 << 20
	maxJobBytes    = 256 << 20
	maxTasksPerJob = 100_000
	maxDrainMs     = 10 * 60_000
	maxGraceMs     = 60 * 60_000
)

// namePattern matches valid names of hosts, regions and zones. Names exclude dots
// and tildes because ids contain names and use both as separators.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?$`)

// checker validates decoded settings and adds its faults to the decoder's.
type checker struct {
	decoder *decoder
	// sources holds the source of each field that an override replaced, by path.
	sources map[string]string
}

// checkAll adds a fault for each field with an invalid value. A field that could
// not be decoded gets no second fault.
func (c checker) checkAll(s Settings) {
	c.checkName("host", s.Host)
	c.checkName("region", s.Region)
	c.checkName("zone", s.Zone)
	c.checkListen(s.Listen)
	c.checkBaseURL("platform.log", s.Platform.Log)
	c.checkBaseURL("platform.host_list", s.Platform.HostList)
	c.checkBounds("platform.poll_ms", s.Platform.PollMs, minPollMs, maxPollMs)
	for i, seed := range s.Seeds {
		c.checkAddress(&listener{field: fmt.Sprintf("seeds[%d]", i), text: seed})
	}
	c.checkBounds("limits.body_bytes", s.Limits.BodyBytes, minBodyBytes, maxBodyBytes)
	c.checkBounds("limits.job_bytes", s.Limits.JobBytes, minBodyBytes, maxJobBytes)
	c.checkBounds("limits.tasks_per_job", int64(s.Limits.TasksPerJob), 1, maxTasksPerJob)
	c.checkBounds("stop.drain_ms", s.Stop.DrainMs, 0, maxDrainMs)
	c.checkBounds("stop.grace_ms", s.Stop.GraceMs, 0, maxGraceMs)
	c.checkOneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.checkOneOf("log.format", s.Log.Format, "logfmt", "json", "text")
}

func (c checker) addFault(field, format string, args ...any) {
	if c.decodeFailed(field) {
		return
	}
	fault := Fault{Source: c.decoder.source, Line: c.decoder.lines[field], Field: field, Reason: fmt.Sprintf(format, args...)}
	if source, ok := c.sources[field]; ok {
		fault.Source, fault.Line = source, 0
	}
	c.decoder.faults = append(c.decoder.faults, fault)
}

// decodeFailed reports whether the field or an object that contains it already
// has a fault.
func (c checker) decodeFailed(field string) bool {
	return slices.ContainsFunc(c.decoder.faults, func(f Fault) bool {
		return f.Field == field || strings.HasPrefix(field, f.Field+".")
	})
}

func (c checker) checkName(field, value string) {
	switch {
	case value == "":
		c.addFault(field, "is missing")
	case !namePattern.MatchString(value):
		c.addFault(field, "%q is not a name: use at most 63 letters, digits and inner hyphens", value)
	}
}

// checkListen checks that each listen address is valid and that no two overlap.
func (c checker) checkListen(l Listen) {
	var checked []listener
	for _, next := range []listener{
		{field: "listen.callers", text: l.Callers},
		{field: "listen.operators", text: l.Operators},
		{field: "listen.peers", text: l.Peers},
	} {
		if !c.checkAddress(&next) {
			continue
		}
		for _, other := range checked {
			if other.overlaps(next) {
				c.addFault(next.field, "%s is taken by %s", next.text, other.field)
			}
		}
		checked = append(checked, next)
	}
}

// listener is an address field of the settings.
type listener struct {
	field   string
	text    string
	address netip.AddrPort
}

// overlaps reports whether a process cannot listen on both addresses at once.
func (l listener) overlaps(other listener) bool {
	a, b := l.address, other.address
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (c checker) checkAddress(l *listener) bool {
	if l.text == "" {
		c.addFault(l.field, "is missing")
		return false
	}
	address, err := netip.ParseAddrPort(l.text)
	switch {
	case err != nil:
		c.addFault(l.field, "%q is not an IP address and a port", l.text)
	case address.Port() == 0:
		c.addFault(l.field, "%q has no port", l.text)
	}
	l.address = address
	return err == nil && address.Port() != 0
}

func (c checker) checkBaseURL(field, value string) {
	if value == "" {
		c.addFault(field, "is missing")
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.addFault(field, "%q is not an http or https URL", value)
		return
	}
	if u.RawQuery != "" || u.Fragment != "" || strings.HasSuffix(u.Path, "/") {
		c.addFault(field, "%q is not a base URL: no query, fragment or trailing slash", value)
	}
}

func (c checker) checkBounds(field string, value, low, high int64) {
	if value < low || value > high {
		c.addFault(field, "%d is not between %d and %d", value, low, high)
	}
}

func (c checker) checkOneOf(field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.addFault(field, "%q is not one of %s", value, strings.Join(allowed, ", "))
	}
}
