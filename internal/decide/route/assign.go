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

// Assign divides the slots of the servers among the entry hosts. Every host
// that knows the same hosts and servers computes the same shares, whatever
// their order. Hosts get equal numbers of slots, of their own zone first. The
// result holds self's share of each server.
func Assign(self string, hosts []Host, backends []Backend) []int {
	a := newAssignment(self, hosts, backends)
	a.deal(func(h *dealt, b Backend) bool { return h.Zone == b.Zone && h.quota > 0 })
	a.deal(func(h *dealt, _ Backend) bool { return h.quota > 0 })
	a.deal(func(*dealt, Backend) bool { return true })
	return a.shares
}

// dealt is a host while slots are dealt out.
type dealt struct {
	Host
	quota int
	// held is the share of each server.
	held []int
}

type assignment struct {
	self     string
	hosts    []*dealt
	backends []Backend
	// order lists the servers by name.
	order  []int
	left   []int
	shares []int
	// turns is the next host in turn for each server. It begins at a hash of
	// the server's name, so that one server more or less moves few shares.
	turns []int
}

func newAssignment(self string, hosts []Host, backends []Backend) *assignment {
	a := &assignment{
		self: self, backends: backends,
		left: make([]int, len(backends)), shares: make([]int, len(backends)), turns: make([]int, len(backends)),
	}
	total := 0
	for i, b := range backends {
		a.order = append(a.order, i)
		a.left[i] = capacity(b)
		a.turns[i] = int(xxhash.Sum64String(b.Name) % 1024)
		total += a.left[i]
	}
	slices.SortFunc(a.order, func(x, y int) int { return strings.Compare(backends[x].Name, backends[y].Name) })
	sorted := slices.SortedFunc(slices.Values(hosts), func(x, y Host) int { return strings.Compare(x.Name, y.Name) })
	for i, h := range sorted {
		quota := total / len(sorted)
		if i < total%len(sorted) {
			quota++
		}
		a.hosts = append(a.hosts, &dealt{Host: h, quota: quota, held: make([]int, len(backends))})
	}
	return a
}

// capacity returns the slots of a server that may be used, by its weight.
func capacity(b Backend) int {
	if b.Weight <= 0 {
		return 0
	}
	return max(1, int(math.Round(float64(b.Slots)*min(1, b.Weight))))
}

// deal hands out slots one by one, in turn, to the hosts that may take them.
func (a *assignment) deal(may func(h *dealt, b Backend) bool) {
	for _, i := range a.order {
		for a.left[i] > 0 && a.dealOne(i, may) {
			a.left[i]--
		}
	}
}

func (a *assignment) dealOne(i int, may func(h *dealt, b Backend) bool) bool {
	b := a.backends[i]
	for range a.hosts {
		h := a.hosts[a.turns[i]%len(a.hosts)]
		a.turns[i]++
		if h.held[i] >= b.connections() || !may(h, b) {
			continue
		}
		h.held[i]++
		h.quota--
		if h.Name == a.self {
			a.shares[i]++
		}
		return true
	}
	return false
}
