package route

// rank orders servers: the least is chosen first. The fields are compared in
// their order.
type rank struct {
	// full is set if the server cannot be chosen.
	full bool
	// class groups servers of equal preference.
	class int
	// load is the load within the class.
	load float64
	// far is set for servers of another availability zone.
	far bool
	// tie is random.
	tie uint32
}

func (r rank) less(o rank) bool {
	switch {
	case r.full != o.full:
		return o.full
	case r.class != o.class:
		return r.class < o.class
	case r.load != o.load:
		return r.load < o.load
	case r.far != o.far:
		return o.far
	}
	return r.tie < o.tie
}

// index is a binary heap of servers by rank that finds a server by its number.
// Choosing and changing a rank cost O(log n).
type index struct {
	ranks []rank
	heap  []int
	where []int
}

// reset makes an index of n servers with the given ranks.
func (x *index) reset(n int, rankOf func(i int) rank) {
	x.ranks = make([]rank, n)
	x.heap = make([]int, n)
	x.where = make([]int, n)
	for i := range n {
		x.ranks[i] = rankOf(i)
		x.heap[i] = i
		x.where[i] = i
	}
	for at := n/2 - 1; at >= 0; at-- {
		x.down(at)
	}
}

// set changes the rank of server i.
func (x *index) set(i int, r rank) {
	x.ranks[i] = r
	x.down(x.where[i])
	x.up(x.where[i])
}

// first returns the best server that is not skipped, or -1.
func (x *index) first(skip func(i int) bool) int {
	i := x.firstBelow(0, skip)
	if i < 0 || x.ranks[i].full {
		return -1
	}
	return i
}

func (x *index) firstBelow(at int, skip func(i int) bool) int {
	if at >= len(x.heap) {
		return -1
	}
	i := x.heap[at]
	if skip == nil || !skip(i) {
		return i
	}
	left := x.firstBelow(2*at+1, skip)
	right := x.firstBelow(2*at+2, skip)
	if left < 0 || (right >= 0 && x.ranks[right].less(x.ranks[left])) {
		return right
	}
	return left
}

func (x *index) down(at int) {
	for {
		least := at
		for child := 2*at + 1; child <= 2*at+2 && child < len(x.heap); child++ {
			if x.less(child, least) {
				least = child
			}
		}
		if least == at {
			return
		}
		x.swap(at, least)
		at = least
	}
}

func (x *index) up(at int) {
	for at > 0 && x.less(at, (at-1)/2) {
		x.swap(at, (at-1)/2)
		at = (at - 1) / 2
	}
}

func (x *index) less(a, b int) bool { return x.ranks[x.heap[a]].less(x.ranks[x.heap[b]]) }

func (x *index) swap(a, b int) {
	x.heap[a], x.heap[b] = x.heap[b], x.heap[a]
	x.where[x.heap[a]] = a
	x.where[x.heap[b]] = b
}
