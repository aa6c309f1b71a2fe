package routebench

import (
	"container/heap"
	"time"
)

// messagesPerForward is the number of messages of a forwarded request: the
// request and its answer.
const messagesPerForward = 2

// RunForwarding simulates a strategy in which each server has one owner among
// the entry hosts. A host without a free slot of its own forwards a request to
// the owner that can start it first. The simulation assumes that it knows that
// owner exactly; a real host knows less.
func (s Scenario) RunForwarding() Result {
	result := Result{Name: "one owner a server, forwarding, exact knowledge"}
	owners := s.ownerSlots()
	for _, r := range s.workload() {
		to, startsAt := s.earliestHost(owners, r)
		travel := 2 * s.LocalDelay
		if to != r.host {
			travel += 2 * s.hostDelay(r.host, to)
		}
		owners[to][0] = startsAt + r.runTime
		heap.Fix(&owners[to], 0)
		if r.arrivesAt < s.Warmup {
			continue
		}
		result.add(s.slowdown(r, startsAt+r.runTime+travel-r.arrivesAt))
		if to != r.host {
			result.Messages += messagesPerForward
		}
	}
	return result
}

// ownerSlots returns, for each host, when each of its slots is next free.
func (s Scenario) ownerSlots() []freeTimes {
	owners := make([]freeTimes, s.Hosts)
	for b := range s.Backends {
		h := b % s.Hosts
		owners[h] = append(owners[h], make(freeTimes, s.Slots)...)
	}
	return owners
}

// earliestHost returns the host that runs the request and when the run starts:
// the request's own host if that has a free slot, otherwise the host with the
// earliest start, counting the delays of forwarding and of the answer.
func (s Scenario) earliestHost(owners []freeTimes, r request) (host int, startsAt time.Duration) {
	host, startsAt = r.host, max(r.arrivesAt, owners[r.host][0])
	best := startsAt
	if startsAt == r.arrivesAt {
		return host, startsAt
	}
	for h, slots := range owners {
		if h == r.host {
			continue
		}
		remoteStart := max(r.arrivesAt+s.hostDelay(r.host, h), slots[0])
		if startPlusReturn := remoteStart + s.hostDelay(r.host, h); startPlusReturn < best {
			host, startsAt, best = h, remoteStart, startPlusReturn
		}
	}
	return host, startsAt
}

// hostDelay returns the one-way delay between two entry hosts.
func (s Scenario) hostDelay(a, b int) time.Duration {
	if a%s.Zones == b%s.Zones {
		return s.LocalDelay
	}
	return s.ZoneDelay
}
