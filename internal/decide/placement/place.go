// Package place chooses workers for tasks. It is pure: it knows what this
// entry host has started itself, adds what workers last reported of others,
// and draws randomness from an injected source.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Size is what a task takes, or what a worker has.
type Size struct {
	Cores        int
	MemoryMB     int
	Accelerators int
}

// Fits reports whether s fits into room.
func (s Size) Fits(room Size) bool {
	return s.Cores <= room.Cores && s.MemoryMB <= room.MemoryMB && s.Accelerators <= room.Accelerators
}

// Plus returns the sum of both.
func (s Size) Plus(o Size) Size {
	return Size{s.Cores + o.Cores, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Minus returns s less o.
func (s Size) Minus(o Size) Size {
	return Size{s.Cores - o.Cores, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

func (s Size) clampZero() Size {
	return Size{max(0, s.Cores), max(0, s.MemoryMB), max(0, s.Accelerators)}
}

// Policy names a way to choose among workers with room.
type Policy string

// The policies.
const (
	// PolicyHome takes this entry host's own share of the workers first and
	// spills to the others when the share is full.
	PolicyHome Policy = "home"
	// PolicyMostFree takes the emptiest of all workers.
	PolicyMostFree Policy = "most_free"
	// PolicyRandom takes any worker with room.
	PolicyRandom Policy = "random"
)

// Worker describes one worker of the platform.
type Worker struct {
	Name     string
	Rack     string
	Capacity Size
	// Home marks the workers of this entry host's share.
	Home bool
}

const (
	// maxCores is the largest free count that the index tells apart.
	maxCores = 256
	// samples bounds the workers looked at for one pick in one set.
	samples = 8
	// bucketSamples bounds the workers looked at in one bucket.
	bucketSamples = 4
	// homeBias is how many times emptier another host's worker must be before
	// it is taken although an own one has room, while the own share is small.
	homeBias = 2
	// largeShare is the number of own workers from which on they are taken as
	// long as one of them has room.
	largeShare = 32
	// reportTTL is how long a report of others' use counts.
	reportTTL = 2 * time.Second
)

// node is one worker in the index.
type node struct {
	Worker
	used     Size
	foreign  Size
	reported time.Time
	usable   bool
	reserved bool
	health   health
	set      *index
	bucket   int
	pos      int
}

func (n *node) free() Size {
	return n.Capacity.Minus(n.used).Minus(n.foreign).clampZero()
}

// Fleet is the set of workers as one entry host sees it. It is not safe for
// concurrent use.
type Fleet struct {
	policy Policy
	rng    *rand.Rand
	nodes  map[string]*node
	list   []*node
	// homes counts the workers of this entry host's share.
	homes int
	home  index
	away  index
	// shapes counts the workers by capacity.
	shapes map[Size]int
}

// NewFleet returns a fleet with no worker.
func NewFleet(policy Policy, rng *rand.Rand) *Fleet {
	return &Fleet{policy: policy, rng: rng, nodes: map[string]*node{}, shapes: map[Size]int{}}
}

// Put adds or updates a worker. An unusable worker gets no task.
func (f *Fleet) Put(w Worker, usable bool) {
	n, ok := f.nodes[w.Name]
	if !ok {
		n = &node{}
		f.nodes[w.Name] = n
		f.list = append(f.list, n)
		f.shapes[w.Capacity]++
	} else if n.Capacity != w.Capacity {
		f.dropShape(n.Capacity)
		f.shapes[w.Capacity]++
	}
	if ok && n.Home {
		f.homes--
	}
	if w.Home {
		f.homes++
	}
	n.Worker = w
	n.usable = usable
	f.reindex(n)
}

// Remove forgets a worker.
func (f *Fleet) Remove(name string) {
	n, ok := f.nodes[name]
	if !ok {
		return
	}
	n.unlink()
	if n.Home {
		f.homes--
	}
	f.dropShape(n.Capacity)
	delete(f.nodes, name)
	f.list = slices.DeleteFunc(f.list, func(o *node) bool { return o == n })
}

func (f *Fleet) dropShape(s Size) {
	f.shapes[s]--
	if f.shapes[s] == 0 {
		delete(f.shapes, s)
	}
}

// SetUsable says whether a worker may get tasks.
func (f *Fleet) SetUsable(name string, usable bool) {
	if n, ok := f.nodes[name]; ok && n.usable != usable {
		n.usable = usable
		f.reindex(n)
	}
}

// Len returns the number of workers.
func (f *Fleet) Len() int { return len(f.nodes) }

// CouldFit reports whether the size fits into some worker when idle.
func (f *Fleet) FitsWhenIdle(s Size) bool {
	for shape := range f.shapes {
		if s.Fits(shape) {
			return true
		}
	}
	return false
}

// Take counts a task in.
func (f *Fleet) Allocate(name string, s Size) {
	if n, ok := f.nodes[name]; ok {
		n.used = n.used.Plus(s)
		f.reindex(n)
	}
}

// Give counts a task out.
func (f *Fleet) Deallocate(name string, s Size) {
	if n, ok := f.nodes[name]; ok {
		n.used = n.used.Minus(s).clampZero()
		f.reindex(n)
	}
}

// Report takes a worker's own count of its use. What is beyond own, the room of
// the tasks that this host knows to run there, is the use of others, until the
// report is old.
func (f *Fleet) ReportUsage(now time.Time, name string, used, own Size) {
	n, ok := f.nodes[name]
	if !ok {
		return
	}
	n.foreign = used.Minus(own).clampZero()
	n.reported = now
	f.reindex(n)
}

// Over reports whether a worker is given more than it has, by what is known.
func (f *Fleet) Overcommitted(name string) bool {
	n, ok := f.nodes[name]
	return ok && !n.used.Plus(n.foreign).Fits(n.Capacity)
}

// Refused marks a worker as too full for the size, until its next report.
func (f *Fleet) MarkFull(now time.Time, name string, s Size) {
	n, ok := f.nodes[name]
	if !ok || !s.Fits(n.free()) {
		return
	}
	n.foreign.Cores += n.free().Cores - max(0, s.Cores-1)
	n.reported = now
	f.reindex(n)
}

// Refresh drops reports that are too old to count.
func (f *Fleet) Refresh(now time.Time) {
	for _, n := range f.list {
		if n.foreign != (Size{}) && now.Sub(n.reported) > reportTTL {
			n.foreign = Size{}
			f.reindex(n)
		}
		if n.health.release(now) {
			f.reindex(n)
		}
	}
}

// Reserve keeps a worker for a large task: nothing else is placed there until
// Release. It picks the worker that could hold the size and is most free, and
// returns its name.
func (f *Fleet) Reserve(s Size) (string, bool) {
	var best *node
	for _, n := range f.list {
		if !n.usable || n.reserved || n.health.out || !s.Fits(n.Capacity) {
			continue
		}
		if best == nil || better(n, best) {
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

// better orders candidates for a reservation: home first, then most free,
// then by name.
func better(a, b *node) bool {
	switch {
	case a.Home != b.Home:
		return a.Home
	case a.free().Cores != b.free().Cores:
		return a.free().Cores > b.free().Cores
	default:
		return a.Name < b.Name
	}
}

// ReservedFits reports whether the size fits into the reserved worker now.
func (f *Fleet) ReservedFits(name string, s Size) bool {
	n, ok := f.nodes[name]
	return ok && n.usable && !n.health.out && s.Fits(n.free())
}

// Release ends a reservation.
func (f *Fleet) Release(name string) {
	if n, ok := f.nodes[name]; ok && n.reserved {
		n.reserved = false
		f.reindex(n)
	}
}

// Racks counts the tasks of one job by rack.
type TasksByRack map[string]int

// Pick returns a worker with room for the size, and false if none is known.
// Among near equals it takes the one whose rack holds the fewest tasks of the
// job.
func (f *Fleet) Pick(s Size, racks TasksByRack) (string, bool) {
	first, second := &f.home, &f.away
	if f.homes < largeShare && homeBias*f.home.top() < f.away.top() {
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

// MaxFree returns the largest number of free cores on one worker.
func (f *Fleet) MaxFreeCores() int { return max(f.home.top(), f.away.top()) }

// Rack returns the worker's rack.
func (f *Fleet) Rack(name string) string {
	if n, ok := f.nodes[name]; ok {
		return n.Rack
	}
	return ""
}
