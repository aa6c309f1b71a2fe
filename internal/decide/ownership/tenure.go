// Package tenure decides which workers this host owns, and under which fence.
// It is pure.
//
// Each availability zone has a group in the platform's store that deals
// partitions to its members. A worker belongs to the partition of its id in
// the group of its zone. A group's generation rises with every change, so a
// later owner's fence is higher than an earlier one's, and the worker itself
// refuses the earlier owner. While the store is away, members keep what they
// own.
package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	// nonceBits make the fences of two hosts differ under one generation.
	nonceBits = 20
	// attemptBits count the times that a host takes a worker anew under one
	// generation. A fence stays below 2^53, which every codec keeps exact.
	attemptBits = 10
	// maxAttempt is the last attempt under one generation.
	maxAttempt = 1<<attemptBits - 1
)

// Action is something for the pool of workers.
type Action interface{ action() }

// Adopt takes a worker over.
type Adopt struct {
	Worker fleet.Worker
	Fence  int64
}

// Drop lets go of a worker.
type Release struct {
	Worker string
	Why    string
}

// Update passes on a worker's newer entry.
type Update struct{ Worker fleet.Worker }

func (Adopt) action()   {}
func (Release) action() {}
func (Update) action()  {}

// group is this host's membership in one zone's group.
type group struct {
	generation int64
	partitions map[int]bool
}

// Tenure follows the memberships and the list of workers. It is not safe for
// concurrent use.
type Tracker struct {
	partitions int
	nonce      int64
	groups     map[string]*group
	workers    map[string]fleet.Worker
	// held are the workers that this host owns or takes over.
	held     map[string]bool
	attempts map[string]int64
	actions  []Action
}

// New returns a tenure over groups of so many partitions. The nonce has to
// differ between hosts.
func New(partitions int, nonce int64) *Tracker {
	return &Tracker{
		partitions: partitions, nonce: nonce & (1<<nonceBits - 1),
		groups: map[string]*group{}, workers: map[string]fleet.Worker{},
		held: map[string]bool{}, attempts: map[string]int64{},
	}
}

// Take returns the actions since the last call.
func (t *Tracker) PopActions() []Action {
	actions := t.actions
	t.actions = nil
	return actions
}

// Partition returns the partition of a worker.
func (t *Tracker) Partition(worker string) int {
	return int(xxhash.Sum64String(worker) % uint64(t.partitions))
}

// Joined takes the store's answer to a join of a zone's group.
func (t *Tracker) Joined(zone string, generation int64, partitions []int) {
	g := t.groups[zone]
	if g == nil {
		g = &group{}
		t.groups[zone] = g
	}
	if generation > g.generation {
		clear(t.attempts)
	}
	g.generation = generation
	g.partitions = make(map[int]bool, len(partitions))
	for _, p := range partitions {
		g.partitions[p] = true
	}
	t.settleZone(zone, "dealt to another host")
}

// Left takes the end of a membership.
func (t *Tracker) Left(zone string) {
	if g := t.groups[zone]; g != nil {
		g.partitions = nil
		t.settleZone(zone, "membership given up")
	}
}

// Generation returns the generation to join a zone's group with. Workers that
// belong to others by it have been dropped.
func (t *Tracker) Generation(zone string) int64 {
	if g := t.groups[zone]; g != nil {
		return g.generation
	}
	return 0
}

// Worker takes a worker's entry.
func (t *Tracker) UpdateWorker(w fleet.Worker) {
	old, known := t.workers[w.ID]
	t.workers[w.ID] = w
	if known && old.Zone != w.Zone {
		t.drop(w.ID, "worker moved to another zone")
	}
	if t.held[w.ID] {
		t.actions = append(t.actions, Update{Worker: w})
	}
	t.settle(w, "dealt to another host")
}

// WorkerGone takes the removal of a worker's entry.
func (t *Tracker) RemoveWorker(id string) {
	delete(t.workers, id)
	t.drop(id, "entry removed")
}

func (t *Tracker) drop(id, why string) {
	if t.held[id] {
		delete(t.held, id)
		t.actions = append(t.actions, Release{Worker: id, Why: why})
	}
}

// Workers returns how many workers are known.
func (t *Tracker) WorkerCount() int { return len(t.workers) }

// Dropped takes the pool's word that it has let go of a worker. A worker that
// is still ours by the store's last word is taken again with the next join.
func (t *Tracker) Released(id string) { delete(t.held, id) }

func (t *Tracker) settleZone(zone, why string) {
	for _, w := range t.sorted() {
		if w.Zone == zone {
			t.settle(w, why)
		}
	}
}

// sorted lists the workers by id, for repeatable decisions.
func (t *Tracker) sorted() []fleet.Worker {
	list := make([]fleet.Worker, 0, len(t.workers))
	for _, w := range t.workers {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b fleet.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// settle compares what is held with what the store has dealt.
func (t *Tracker) settle(w fleet.Worker, why string) {
	g := t.groups[w.Zone]
	ours := g != nil && g.partitions[t.Partition(w.ID)]
	switch {
	case ours && !t.held[w.ID]:
		t.held[w.ID] = true
		t.adopt(w, g)
	case !ours:
		t.drop(w.ID, why)
	}
}

func (t *Tracker) adopt(w fleet.Worker, g *group) {
	attempt := min(t.attempts[w.ID], maxAttempt)
	t.attempts[w.ID] = attempt + 1
	fence := (g.generation<<attemptBits|attempt)<<nonceBits | t.nonce
	t.actions = append(t.actions, Adopt{Worker: w, Fence: fence})
}

// Missing returns the known workers that a full reading does not hold.
func (t *Tracker) Missing(present map[string]bool) []string {
	var missing []string
	for _, w := range t.sorted() {
		if !present[w.ID] {
			missing = append(missing, w.ID)
		}
	}
	return missing
}
