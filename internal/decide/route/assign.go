package route

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Host is an entry host that shares the servers.
type Host struct {
	Name string
	Zone string
}

// Assign divides the slots of the servers among the entry hosts and returns
// self's share of each server. All hosts that know the same hosts and servers
// compute the same division, whatever the order of the lists. Hosts get equal
// numbers of slots, preferably in their own zone.
func Assign(self string, hosts []Host, backends []Backend) []int {
	a := newAssignment(self, hosts, backends)
	a.distribute(func(h *hostAssignment, b Backend) bool { return h.Zone == b.Zone && h.quota > 0 })
	a.distribute(func(h *hostAssignment, _ Backend) bool { return h.quota > 0 })
	a.distribute(func(*hostAssignment, Backend) bool { return true })
	return a.shares
}

// hostAssignment holds the slots assigned to one host so far.
type hostAssignment struct {
	Host
	quota int
	// assigned is the number of slots of each server.
	assigned []int
}

type assignment struct {
	self     string
	hosts    []*hostAssignment
	backends []Backend
	// order holds the indexes of the servers, sorted by name.
	order      []int
	unassigned []int
	shares     []int
	// nextHost is the host whose turn is next, for each server. It starts at a
	// hash of the server's name, so that adding or removing one server moves
	// few shares.
	nextHost []int
}

func newAssignment(self string, hosts []Host, backends []Backend) *assignment {
	a := &assignment{
		self: self, backends: backends,
		unassigned: make([]int, len(backends)), shares: make([]int, len(backends)), nextHost: make([]int, len(backends)),
	}
	total := 0
	for i, b := range backends {
		a.order = append(a.order, i)
		a.unassigned[i] = weightedSlots(b)
		a.nextHost[i] = int(xxhash.Sum64String(b.Name) % 1024)
		total += a.unassigned[i]
	}
	slices.SortFunc(a.order, func(x, y int) int { return strings.Compare(backends[x].Name, backends[y].Name) })
	sorted := slices.SortedFunc(slices.Values(hosts), func(x, y Host) int { return strings.Compare(x.Name, y.Name) })
	for i, h := range sorted {
		quota := total / len(sorted)
		if i < total%len(sorted) {
			quota++
		}
		a.hosts = append(a.hosts, &hostAssignment{Host: h, quota: quota, assigned: make([]int, len(backends))})
	}
	return a
}

// weightedSlots returns how many slots of a server may be used at its weight.
func weightedSlots(b Backend) int {
	if b.Weight <= 0 {
		return 0
	}
	return max(1, int(math.Round(float64(b.Slots)*min(1, b.Weight))))
}

// distribute assigns the remaining slots one by one, in turn, to the hosts for
// which allowed returns true.
func (a *assignment) distribute(allowed func(h *hostAssignment, b Backend) bool) {
	for _, i := range a.order {
		for a.unassigned[i] > 0 && a.assignSlot(i, allowed) {
			a.unassigned[i]--
		}
	}
}

func (a *assignment) assignSlot(i int, allowed func(h *hostAssignment, b Backend) bool) bool {
	b := a.backends[i]
	for range a.hosts {
		h := a.hosts[a.nextHost[i]%len(a.hosts)]
		a.nextHost[i]++
		if h.assigned[i] >= b.maxConcurrent() || !allowed(h, b) {
			continue
		}
		h.assigned[i]++
		h.quota--
		if h.Name == a.self {
			a.shares[i]++
		}
		return true
	}
	return false
}
