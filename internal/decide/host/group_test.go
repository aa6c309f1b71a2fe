package host

import (
	"slices"
	"time"
)

// simGroup assigns partitions to members as the platform's store does: a
// partition is reassigned once its owner has joined with the new generation,
// has left, or has not joined for memberTTL.
type simGroup struct {
	partitions       int
	generation       int64
	lastJoin         map[string]time.Time
	joinedGeneration map[string]int64
	target           map[int]string
	holder           map[int]string
}

func newGroup(partitions int) *simGroup {
	return &simGroup{
		partitions: partitions, lastJoin: map[string]time.Time{}, joinedGeneration: map[string]int64{},
		target: map[int]string{}, holder: map[int]string{},
	}
}

func (g *simGroup) join(now time.Time, member string, generation int64) (int64, []int) {
	_, known := g.lastJoin[member]
	g.lastJoin[member], g.joinedGeneration[member] = now, generation
	changed := !known
	for m, at := range g.lastJoin {
		if now.Sub(at) > memberTTL {
			delete(g.lastJoin, m)
			changed = true
		}
	}
	if changed {
		g.assign()
	}
	var parts []int
	for p := range g.partitions {
		holder := g.holder[p]
		if _, alive := g.lastJoin[holder]; !alive || g.joinedGeneration[holder] >= g.generation {
			g.holder[p] = g.target[p]
		}
		if g.holder[p] == member && g.target[p] == member {
			parts = append(parts, p)
		}
	}
	return g.generation, parts
}

// assign starts a new generation with the partitions spread evenly over the
// members.
func (g *simGroup) assign() {
	g.generation++
	members := make([]string, 0, len(g.lastJoin))
	for m := range g.lastJoin {
		members = append(members, m)
	}
	slices.Sort(members)
	for p := range g.partitions {
		if len(members) == 0 {
			g.target[p] = ""
			continue
		}
		g.target[p] = members[p%len(members)]
	}
}

// reassign moves the partitions at once, without waiting for their owners.
func (g *simGroup) reassign(offset int) {
	g.assign()
	members := make([]string, 0, len(g.lastJoin))
	for m := range g.lastJoin {
		members = append(members, m)
	}
	slices.Sort(members)
	for p := range g.partitions {
		if len(members) > 0 {
			g.target[p] = members[(p+offset)%len(members)]
			g.holder[p] = g.target[p]
		}
	}
}

// leave ends a membership. The other members get its partitions with their next joins.
func (g *simGroup) leave(member string) {
	delete(g.lastJoin, member)
	g.assign()
}
