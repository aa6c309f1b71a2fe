// Package placement chooses workers for tasks. It performs no I/O: it counts what
// this entry host has started itself, adds the use by other hosts that workers last
// reported, and takes randomness from an injected source.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Size is the amount of resources that a task needs, or that a worker has.
type Size struct {
	Cores        int
	MemoryMB     int
	Accelerators int
}

// Fits reports whether s fits into the free capacity.
func (s Size) Fits(free Size) bool {
	return s.Cores <= free.Cores && s.MemoryMB <= free.MemoryMB && s.Accelerators <= free.Accelerators
}

// Plus returns the sum of s and o.
func (s Size) Plus(o Size) Size {
	return Size{s.Cores + o.Cores, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Minus returns s minus o. Its fields may be negative.
func (s Size) Minus(o Size) Size {
	return Size{s.Cores - o.Cores, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

func (s Size) clampZero() Size {
	return Size{max(0, s.Cores), max(0, s.MemoryMB), max(0, s.Accelerators)}
}

// Policy names a strategy for choosing among workers with free capacity.
type Policy string

// The policies.
const (
	// PolicyHome prefers the workers of this entry host's own share, and uses the
	// others when the share is full.
	PolicyHome Policy = "home"
	// PolicyMostFree prefers the workers with the most free cores.
	PolicyMostFree Policy = "most_free"
	// PolicyRandom chooses a random worker with free capacity.
	PolicyRandom Policy = "random"
)

// Worker describes one worker of the platform.
type Worker struct {
	Name     string
	Rack     string
	Capacity Size
	// Home is set for the workers of this entry host's own share.
	Home bool
}

const (
	// maxCores is the largest number of free cores that the index distinguishes.
	maxCores = 256
	// maxSamples bounds the workers examined in one index for one pick.
	maxSamples = 8
	// maxBucketSamples bounds the workers examined in one bucket of a bounded scan.
	maxBucketSamples = 4
	// remoteFactor is how many times more free cores the best worker of another
	// host's share must have to be preferred to the best one of the own share. It
	// applies while the own share is smaller than largeHomeShare.
	remoteFactor = 2
	// largeHomeShare is the number of workers in the own share from which on the own
	// share is always tried first.
	largeHomeShare = 32
	// reportTTL is how long a worker's report of the use by other hosts is valid.
	reportTTL = 2 * time.Second
)

// node is one worker in the index.
type node struct {
	Worker
	used         Size
	usedByOthers Size
	reportedAt   time.Time
	usable       bool
	reserved     bool
	health       health
	memberOf     *index
	bucket       int
	pos          int
}

func (n *node) free() Size {
	return n.Capacity.Minus(n.used).Minus(n.usedByOthers).clampZero()
}

// Fleet is the set of workers with their use as known to one entry host. It is not
// safe for concurrent use.
type Fleet struct {
	policy Policy
	rng    *rand.Rand
	nodes  map[string]*node
	list   []*node
	// homeCount is the number of workers in this entry host's share.
	homeCount int
	home      index
	remote    index
	// capacities holds the number of workers of each capacity.
	capacities map[Size]int
}

// NewFleet returns a fleet without workers.
func NewFleet(policy Policy, rng *rand.Rand) *Fleet {
	return &Fleet{policy: policy, rng: rng, nodes: map[string]*node{}, capacities: map[Size]int{}}
}

// Put adds or updates a worker. A worker that is not usable gets no tasks.
func (f *Fleet) Put(w Worker, usable bool) {
	n, ok := f.nodes[w.Name]
	if !ok {
		n = &node{}
		f.nodes[w.Name] = n
		f.list = append(f.list, n)
		f.capacities[w.Capacity]++
	} else if n.Capacity != w.Capacity {
		f.removeCapacity(n.Capacity)
		f.capacities[w.Capacity]++
	}
	if ok && n.Home {
		f.homeCount--
	}
	if w.Home {
		f.homeCount++
	}
	n.Worker = w
	n.usable = usable
	f.reindex(n)
}

// Remove removes a worker with its counts and its quarantine.
func (f *Fleet) Remove(name string) {
	n, ok := f.nodes[name]
	if !ok {
		return
	}
	n.removeFromIndex()
	if n.Home {
		f.homeCount--
	}
	f.removeCapacity(n.Capacity)
	delete(f.nodes, name)
	f.list = slices.DeleteFunc(f.list, func(o *node) bool { return o == n })
}

func (f *Fleet) removeCapacity(s Size) {
	f.capacities[s]--
	if f.capacities[s] == 0 {
		delete(f.capacities, s)
	}
}

// SetUsable sets whether a worker may get tasks.
func (f *Fleet) SetUsable(name string, usable bool) {
	if n, ok := f.nodes[name]; ok && n.usable != usable {
		n.usable = usable
		f.reindex(n)
	}
}

// Len returns the number of workers.
func (f *Fleet) Len() int { return len(f.nodes) }

// FitsWhenIdle reports whether the size fits some worker that runs no tasks.
func (f *Fleet) FitsWhenIdle(s Size) bool {
	for capacity := range f.capacities {
		if s.Fits(capacity) {
			return true
		}
	}
	return false
}

// Allocate adds a task's size to the use of a worker.
func (f *Fleet) Allocate(name string, s Size) {
	if n, ok := f.nodes[name]; ok {
		n.used = n.used.Plus(s)
		f.reindex(n)
	}
}

// Deallocate subtracts a task's size from the use of a worker.
func (f *Fleet) Deallocate(name string, s Size) {
	if n, ok := f.nodes[name]; ok {
		n.used = n.used.Minus(s).clampZero()
		f.reindex(n)
	}
}

// ReportUsage records the use that a worker reports. The use beyond own, the total
// size of the tasks that this host knows to run there, counts as use by other hosts
// for reportTTL.
func (f *Fleet) ReportUsage(now time.Time, name string, used, own Size) {
	n, ok := f.nodes[name]
	if !ok {
		return
	}
	n.usedByOthers = used.Minus(own).clampZero()
	n.reportedAt = now
	f.reindex(n)
}

// Overcommitted reports whether the known use of a worker exceeds its capacity.
func (f *Fleet) Overcommitted(name string) bool {
	n, ok := f.nodes[name]
	return ok && !n.used.Plus(n.usedByOthers).Fits(n.Capacity)
}

// MarkFull records that a worker refused a task of the size for lack of capacity.
// Until its next report or for reportTTL, it counts as too full for the size.
func (f *Fleet) MarkFull(now time.Time, name string, s Size) {
	n, ok := f.nodes[name]
	if !ok || !s.Fits(n.free()) {
		return
	}
	n.usedByOthers.Cores += n.free().Cores - max(0, s.Cores-1)
	n.reportedAt = now
	f.reindex(n)
}

// Refresh drops reports older than reportTTL and ends expired quarantines.
func (f *Fleet) Refresh(now time.Time) {
	for _, n := range f.list {
		if n.usedByOthers != (Size{}) && now.Sub(n.reportedAt) > reportTTL {
			n.usedByOthers = Size{}
			f.reindex(n)
		}
		if n.health.endQuarantine(now) {
			f.reindex(n)
		}
	}
}

// Reserve reserves a worker for a large task: no other task is placed there until
// Release. Among the workers whose capacity fits the size it prefers those of the
// own share, then the one with the most free cores. It returns the worker's name,
// and false if there is none.
func (f *Fleet) Reserve(s Size) (string, bool) {
	var best *node
	for _, n := range f.list {
		if !n.usable || n.reserved || n.health.quarantined || !s.Fits(n.Capacity) {
			continue
		}
		if best == nil || betterReservation(n, best) {
			best = n
		}
	}
	if best == nil {
		return "", false
	}
	best.reserved = true
	f.reindex(best)
	return best.Name, true
}

// betterReservation reports whether a is preferred to b for a reservation: workers
// of the own share first, then the most free cores, then by name.
func betterReservation(a, b *node) bool {
	switch {
	case a.Home != b.Home:
		return a.Home
	case a.free().Cores != b.free().Cores:
		return a.free().Cores > b.free().Cores
	default:
		return a.Name < b.Name
	}
}

// ReservedFits reports whether the size fits the free capacity of the reserved
// worker now.
func (f *Fleet) ReservedFits(name string, s Size) bool {
	n, ok := f.nodes[name]
	return ok && n.usable && !n.health.quarantined && s.Fits(n.free())
}

// Release ends a reservation.
func (f *Fleet) Release(name string) {
	if n, ok := f.nodes[name]; ok && n.reserved {
		n.reserved = false
		f.reindex(n)
	}
}

// TasksByRack holds the number of tasks of one job on each rack.
type TasksByRack map[string]int

// Pick returns the name of a worker with free capacity for the size, and false if
// there is none. Among the workers examined it prefers the one whose rack holds the
// fewest tasks of the job.
func (f *Fleet) Pick(s Size, racks TasksByRack) (string, bool) {
	first, second := &f.home, &f.remote
	if f.homeCount < largeHomeShare && remoteFactor*f.home.maxFreeCores() < f.remote.maxFreeCores() {
		first, second = second, first
	}
	n := first.pick(s, racks, f.rng, f.policy)
	if n == nil {
		n = second.pick(s, racks, f.rng, f.policy)
	}
	if n == nil {
		return "", false
	}
	return n.Name, true
}

// MaxFreeCores returns the largest number of free cores on one worker that may get
// tasks.
func (f *Fleet) MaxFreeCores() int { return max(f.home.maxFreeCores(), f.remote.maxFreeCores()) }

// Rack returns the worker's rack, or an empty string if the worker is unknown.
func (f *Fleet) Rack(name string) string {
	if n, ok := f.nodes[name]; ok {
		return n.Rack
	}
	return ""
}
