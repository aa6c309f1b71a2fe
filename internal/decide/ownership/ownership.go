// Package ownership decides which workers this host owns, and under which
// fence. It does no I/O.
//
// Each availability zone has a group in the platform's store that assigns
// partitions to its members. The hash of a worker's ID gives its partition in
// the group of its zone. A group's generation rises with every change, so a
// later owner has a higher fence than an earlier one, and the worker itself
// refuses the earlier owner. While the store is unavailable, members keep the
// workers that they own.
package ownership

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	// nonceBits is the width of the host's nonce in a fence, which makes the
	// fences of two hosts differ within one generation.
	nonceBits = 20
	// attemptBits is the width of the counter of a host's adoptions of a worker
	// within one generation. A fence stays below 2^53, which every codec
	// represents exactly.
	attemptBits = 10
	// maxAttempt is the largest value of the adoption counter.
	maxAttempt = 1<<attemptBits - 1
)

// Action is a change to apply to the pool of owned workers.
type Action interface{ action() }

// Adopt asks for the takeover of a worker under a fence.
type Adopt struct {
	Worker fleet.Worker
	Fence  int64
}

// Release ends the ownership of a worker.
type Release struct {
	Worker string
	Why    string
}

// Update passes on a newer registration of an owned worker.
type Update struct{ Worker fleet.Worker }

func (Adopt) action()   {}
func (Release) action() {}
func (Update) action()  {}

// Seat is one of a host's memberships in the group of a zone. A host has several
// there if it is to own more workers than a weaker one.
type Seat struct {
	Zone   string
	Number int
}

// membership is the state of one of this host's memberships in a zone's group.
type membership struct {
	generation int64
	partitions []int
	// heldFrom holds, by partition, a time since which the store has assigned it to no other
	// member, and heldTo is when the last join that the store answered was sent.
	heldFrom map[int]time.Time
	heldTo   time.Time
	// unsettled is set if a worker of the zone was released that may still be
	// assigned to this host.
	unsettled bool
}

func (m *membership) owns(partition int) bool { return slices.Contains(m.partitions, partition) }

// Tracker derives the owned workers from the memberships and the list of
// workers. It is not safe for concurrent use.
type Tracker struct {
	partitions  int
	nonce       int64
	memberships map[Seat]*membership
	workers     map[string]fleet.Worker
	// adoptions holds the last adoption of each worker. A worker whose registration was
	// removed may return in the same generation and then needs a higher fence.
	adoptions map[string]adoption
	// held contains the workers that this host owns or is taking over.
	held map[string]bool
	// replaced holds the workers at whose address another worker has answered,
	// with their last registration.
	replaced map[string]fleet.Worker
	actions  []Action
}

// New returns a Tracker for groups with the given number of partitions. The
// nonce must differ between hosts.
func New(partitions int, nonce int64) *Tracker {
	return &Tracker{
		partitions: partitions, nonce: nonce & (1<<nonceBits - 1),
		memberships: map[Seat]*membership{}, workers: map[string]fleet.Worker{}, adoptions: map[string]adoption{},
		held: map[string]bool{}, replaced: map[string]fleet.Worker{},
	}
}

// PopActions returns and clears the pending actions.
func (t *Tracker) PopActions() []Action {
	actions := t.actions
	t.actions = nil
	return actions
}

// Partition returns the partition of a worker ID.
func (t *Tracker) Partition(worker string) int {
	return int(xxhash.Sum64String(worker) % uint64(t.partitions))
}

// Joined records the generation and the partitions that the store assigned when
// this host joined a zone's group.
func (t *Tracker) Joined(s Seat, generation int64, partitions []int) {
	g := t.memberships[s]
	if g == nil {
		g = &membership{heldFrom: map[int]time.Time{}}
		t.memberships[s] = g
	}
	if generation != g.generation && generation != g.generation+1 {
		// The partitions may have had other owners in a generation between.
		clear(g.heldFrom)
	}
	maps.DeleteFunc(g.heldFrom, func(partition int, _ time.Time) bool { return !slices.Contains(partitions, partition) })
	if generation == g.generation && slices.Equal(partitions, g.partitions) && !g.unsettled {
		return
	}
	g.generation, g.unsettled = generation, false
	g.partitions = slices.Clone(partitions)
	t.forgetAdoptions(s.Zone)
	t.reconcileZone(s.Zone, "assigned to another host")
}

// Confirmed records when the join whose answer Joined has recorded was sent and answered.
func (t *Tracker) Confirmed(s Seat, sent, answered time.Time) {
	g := t.memberships[s]
	for _, partition := range g.partitions {
		if _, ok := g.heldFrom[partition]; !ok {
			g.heldFrom[partition] = answered
		}
	}
	if sent.After(g.heldTo) {
		g.heldTo = sent
	}
}

// Held returns times between which the store has assigned a worker to no other host. They
// are zero, or the first is after the second, if no such time is known.
func (t *Tracker) Held(worker string) (from, to time.Time) {
	w, ok := t.workers[worker]
	if !ok || !t.held[worker] {
		return time.Time{}, time.Time{}
	}
	g := t.assigned(w)
	if g == nil {
		return time.Time{}, time.Time{}
	}
	return g.heldFrom[t.Partition(worker)], g.heldTo
}

// forgetAdoptions drops the adoptions in a zone that precede the generations of all its
// seats: a later adoption there has a higher generation.
func (t *Tracker) forgetAdoptions(zone string) {
	oldest := int64(math.MaxInt64)
	for s, g := range t.memberships {
		if s.Zone == zone {
			oldest = min(oldest, g.generation)
		}
	}
	maps.DeleteFunc(t.adoptions, func(_ string, a adoption) bool { return a.zone == zone && a.generation < oldest })
}

// Left records the end of a membership and releases the workers that it assigned to
// this host.
func (t *Tracker) Left(s Seat) {
	if g := t.memberships[s]; g != nil {
		g.partitions = nil
		clear(g.heldFrom)
		t.reconcileZone(s.Zone, "membership ended")
	}
}

// assigned returns the membership that assigns a worker to this host, or nil.
func (t *Tracker) assigned(w fleet.Worker) *membership {
	partition := t.Partition(w.ID)
	var found *membership
	for s, g := range t.memberships {
		if s.Zone == w.Zone && g.owns(partition) && (found == nil || g.generation > found.generation) {
			found = g
		}
	}
	return found
}

// UpdateWorker records a worker's registration, and adopts or releases the
// worker accordingly.
func (t *Tracker) UpdateWorker(w fleet.Worker) {
	old, known := t.workers[w.ID]
	t.workers[w.ID] = w
	if t.replaced[w.ID].OlderThan(w) {
		delete(t.replaced, w.ID)
	}
	if known && old.Zone != w.Zone {
		t.release(w.ID, "worker moved to another zone")
	}
	if t.held[w.ID] {
		t.actions = append(t.actions, Update{Worker: w})
	}
	t.reconcile(w, "assigned to another host")
}

// IsOutdated reports whether a newer registration of the worker is known.
func (t *Tracker) IsOutdated(w fleet.Worker) bool {
	known, ok := t.workers[w.ID]
	return ok && w.OlderThan(known)
}

// RemoveWorker records the removal of a worker's registration and releases the
// worker.
func (t *Tracker) RemoveWorker(id string) {
	delete(t.workers, id)
	delete(t.replaced, id)
	t.release(id, "registration removed")
}

func (t *Tracker) release(id, why string) {
	if t.held[id] {
		delete(t.held, id)
		t.actions = append(t.actions, Release{Worker: id, Why: why})
	}
}

// WorkerCount returns the number of known workers.
func (t *Tracker) WorkerCount() int { return len(t.workers) }

// Replaced records that another worker has answered at a worker's address. The
// worker is not adopted again until it registers anew: its last entry remains in the
// store for some seconds.
func (t *Tracker) Replaced(id string) {
	if w, ok := t.workers[id]; ok {
		t.replaced[id] = w
	}
}

// Released records that the pool has released a worker. If the store still
// assigns it to this host, the next join adopts it again.
func (t *Tracker) Released(id string) {
	delete(t.held, id)
	for s, g := range t.memberships {
		if s.Zone == t.workers[id].Zone {
			g.unsettled = true
		}
	}
}

func (t *Tracker) reconcileZone(zone, why string) {
	for _, w := range t.sortedWorkers(func(w fleet.Worker) bool { return w.Zone == zone }) {
		t.reconcile(w, why)
	}
}

// sortedWorkers returns the matching workers, ordered by ID, which makes decisions
// deterministic.
func (t *Tracker) sortedWorkers(match func(fleet.Worker) bool) []fleet.Worker {
	var list []fleet.Worker
	for _, w := range t.workers {
		if match(w) {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b fleet.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// reconcile adopts or releases a worker according to the assigned partitions.
func (t *Tracker) reconcile(w fleet.Worker, why string) {
	g := t.assigned(w)
	switch {
	case g != nil && !t.held[w.ID]:
		if _, gone := t.replaced[w.ID]; gone {
			return
		}
		t.held[w.ID] = true
		t.adopt(w, g)
	case g == nil:
		t.release(w.ID, why)
	}
}

// adoption is a takeover of a worker: its zone, the generation of the zone's group, and
// how often the worker was taken over in that generation before.
type adoption struct {
	zone                string
	generation, attempt int64
}

func (t *Tracker) adopt(w fleet.Worker, g *membership) {
	a := adoption{zone: w.Zone, generation: g.generation}
	if last, ok := t.adoptions[w.ID]; ok && last.zone == w.Zone && last.generation >= g.generation {
		// The answer to another seat may be newer than that to this one.
		a.generation, a.attempt = last.generation, min(last.attempt+1, maxAttempt)
	}
	t.adoptions[w.ID] = a
	fence := (a.generation<<attemptBits|a.attempt)<<nonceBits | t.nonce
	t.actions = append(t.actions, Adopt{Worker: w, Fence: fence})
}

// Missing returns the IDs of the known workers that are not in present, which
// must be a complete list.
func (t *Tracker) Missing(present map[string]bool) []string {
	var missing []string
	for _, w := range t.sortedWorkers(func(w fleet.Worker) bool { return !present[w.ID] }) {
		missing = append(missing, w.ID)
	}
	return missing
}
