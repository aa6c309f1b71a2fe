package host

import (
	"slices"
	"time"
)

// simGroup deals partitions to members as the platform's store does: a
// partition moves once its holder has joined with the new generation, has left
// or has been silent.
type simGroup struct {
	partitions int
	generation int64
	joined     map[string]time.Time
	conceded   map[string]int64
	target     map[int]string
	holder     map[int]string
}

func newGroup(partitions int) *simGroup {
	return &simGroup{
		partitions: partitions, joined: map[string]time.Time{}, conceded: map[string]int64{},
		target: map[int]string{}, holder: map[int]string{},
	}
}

func (g *simGroup) join(now time.Time, member string, generation int64) (int64, []int) {
	_, known := g.joined[member]
	g.joined[member], g.conceded[member] = now, generation
	changed := !known
	for m, at := range g.joined {
		if now.Sub(at) > memberTTL {
			delete(g.joined, m)
			changed = true
		}
	}
	if changed {
		g.deal()
	}
	var parts []int
	for p := range g.partitions {
		holder := g.holder[p]
		if _, alive := g.joined[holder]; !alive || g.conceded[holder] >= g.generation {
			g.holder[p] = g.target[p]
		}
		if g.holder[p] == member && g.target[p] == member {
			parts = append(parts, p)
		}
	}
	return g.generation, parts
}

// deal distributes the partitions evenly over the members.
func (g *simGroup) deal() {
	g.generation++
	members := make([]string, 0, len(g.joined))
	for m := range g.joined {
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

// shuffle deals everything anew at once, without a request.
func (g *simGroup) shuffle(offset int) {
	g.deal()
	members := make([]string, 0, len(g.joined))
	for m := range g.joined {
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
