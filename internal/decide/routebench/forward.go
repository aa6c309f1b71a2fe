package routebench

import (
	"container/heap"
	"time"
)

// messagesPerForward counts a forwarded request and its answer.
const messagesPerForward = 2

// Forwarding runs the way in which each server has one owner among the entry
// hosts. A host without a free slot of its own forwards a request to the owner
// that can begin it first, which it is taken to know exactly; a real host knows
// less.
func (s Scenario) RunForwarding() Result {
	res := Result{Name: "one owner a server, forwarding, exact knowledge"}
	owners := s.owners()
	for _, r := range s.workload() {
		to, begins := s.firstOwner(owners, r)
		travel := 2 * s.LocalDelay
		if to != r.host {
			travel += 2 * s.hop(r.host, to)
		}
		owners[to][0] = begins + r.run
		heap.Fix(&owners[to], 0)
		if r.arrives < s.Warmup {
			continue
		}
		res.add(s.slowdown(r, begins+r.run+travel-r.arrives))
		if to != r.host {
			res.Messages += messagesPerForward
		}
	}
	return res
}

// owners returns the slots of each host: when each is free next.
func (s Scenario) owners() []timeHeap {
	owners := make([]timeHeap, s.Hosts)
	for b := range s.Backends {
		h := b % s.Hosts
		owners[h] = append(owners[h], make(timeHeap, s.Slots)...)
	}
	return owners
}

// firstOwner returns the host to run the request and when it begins: its own
// host if that has a free slot, otherwise where it begins first, hops counted.
func (s Scenario) firstOwner(owners []timeHeap, r request) (host int, begins time.Duration) {
	host, begins = r.host, max(r.arrives, owners[r.host][0])
	best := begins
	if begins == r.arrives {
		return host, begins
	}
	for h, slots := range owners {
		if h == r.host {
			continue
		}
		there := max(r.arrives+s.hop(r.host, h), slots[0])
		if back := there + s.hop(r.host, h); back < best {
			host, begins, best = h, there, back
		}
	}
	return host, begins
}

// hop is the one-way delay between two entry hosts.
func (s Scenario) hop(a, b int) time.Duration {
	if a%s.Zones == b%s.Zones {
		return s.LocalDelay
	}
	return s.ZoneDelay
}
