package route

// rank orders servers: the server with the lowest rank is chosen first. The
// fields are compared in the order of their declaration.
type rank struct {
	// full is set if the server cannot be chosen.
	full bool
	// class groups servers of equal preference; lower is better.
	class int
	// load orders the servers of one class; lower is better.
	load float64
	// otherZone is set for servers of another availability zone.
	otherZone bool
	// tie is a random number that breaks ties.
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
	case r.otherZone != o.otherZone:
		return o.otherZone
	}
	return r.tie < o.tie
}

// index is a binary heap of server numbers ordered by rank. It tracks the
// position of each server, so that choosing a server and changing a rank both
// take O(log n).
type index struct {
	ranks    []rank
	heap     []int
	position []int
}

// reset rebuilds the index for n servers with the given ranks.
func (x *index) reset(n int, rankOf func(i int) rank) {
	x.ranks = make([]rank, n)
	x.heap = make([]int, n)
	x.position = make([]int, n)
	for i := range n {
		x.ranks[i] = rankOf(i)
		x.heap[i] = i
		x.position[i] = i
	}
	for at := n/2 - 1; at >= 0; at-- {
		x.siftDown(at)
	}
}

// update changes the rank of server i.
func (x *index) update(i int, r rank) {
	x.ranks[i] = r
	x.siftDown(x.position[i])
	x.siftUp(x.position[i])
}

// first returns the best server that is neither skipped nor full, or -1.
func (x *index) first(skip func(i int) bool) int {
	i := x.firstInSubtree(0, skip)
	if i < 0 || x.ranks[i].full {
		return -1
	}
	return i
}

// firstInSubtree returns the best server that is not skipped in the subtree at
// the heap position, or -1. The server may be full.
func (x *index) firstInSubtree(at int, skip func(i int) bool) int {
	if at >= len(x.heap) {
		return -1
	}
	i := x.heap[at]
	if skip == nil || !skip(i) {
		return i
	}
	left := x.firstInSubtree(2*at+1, skip)
	right := x.firstInSubtree(2*at+2, skip)
	if left < 0 || (right >= 0 && x.ranks[right].less(x.ranks[left])) {
		return right
	}
	return left
}

func (x *index) siftDown(at int) {
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

func (x *index) siftUp(at int) {
	for at > 0 && x.less(at, (at-1)/2) {
		x.swap(at, (at-1)/2)
		at = (at - 1) / 2
	}
}

func (x *index) less(a, b int) bool { return x.ranks[x.heap[a]].less(x.ranks[x.heap[b]]) }

func (x *index) swap(a, b int) {
	x.heap[a], x.heap[b] = x.heap[b], x.heap[a]
	x.position[x.heap[a]] = a
	x.position[x.heap[b]] = b
}
