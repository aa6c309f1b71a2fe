package placement

import (
	"math/bits"
	"math/rand/v2"
)

const words = maxCores/64 + 1

// index keeps workers in buckets by their free cores, so that a pick and an
// update cost the same at any number of workers.
type index struct {
	buckets [maxCores + 1][]*node
	filled  [words]uint64
}

// top returns the largest free count that some worker has, or 0.
func (x *index) top() int { return max(0, x.below(maxCores)) }

// below returns the fullest bucket at or under limit that holds a worker, or
// -1.
func (x *index) below(limit int) int {
	if limit < 0 {
		return -1
	}
	word := limit / 64
	mask := x.filled[word] & (^uint64(0) >> (63 - limit%64))
	for {
		if mask != 0 {
			return word*64 + 63 - bits.LeadingZeros64(mask)
		}
		if word == 0 {
			return -1
		}
		word--
		mask = x.filled[word]
	}
}

func (x *index) add(n *node, bucket int) {
	n.set, n.bucket, n.pos = x, bucket, len(x.buckets[bucket])
	x.buckets[bucket] = append(x.buckets[bucket], n)
	x.filled[bucket/64] |= 1 << (bucket % 64)
}

// unlink takes the worker out of its bucket.
func (n *node) unlink() {
	x := n.set
	if x == nil {
		return
	}
	bucket := x.buckets[n.bucket]
	last := bucket[len(bucket)-1]
	bucket[n.pos] = last
	last.pos = n.pos
	x.buckets[n.bucket] = bucket[:len(bucket)-1]
	if len(bucket) == 1 {
		x.filled[n.bucket/64] &^= 1 << (n.bucket % 64)
	}
	n.set = nil
}

// reindex moves the worker to the bucket of its free cores. A worker that may
// get no task is in no bucket.
func (f *Fleet) reindex(n *node) {
	open := n.usable && !n.reserved && n.health.open(n.used)
	set := &f.away
	if n.Home && f.policy == PolicyHome {
		set = &f.home
	}
	bucket := min(maxCores, n.free().Cores)
	if open && n.set == set && n.bucket == bucket {
		return
	}
	n.unlink()
	if open {
		set.add(n, bucket)
	}
}

// pick looks at a bounded number of workers, the most free first, and takes
// the one whose rack holds the fewest tasks of the job.
func (x *index) pick(s Size, racks TasksByRack, rng *rand.Rand, policy Policy) *node {
	limit := maxCores
	if policy == PolicyRandom {
		limit = x.randomStart(s, rng)
	}
	best, looked := x.walk(s, racks, rng, limit, samples)
	if best == nil && (looked >= samples || limit < maxCores) {
		best, _ = x.walk(s, racks, rng, maxCores, 1<<30)
	}
	return best
}

// randomStart draws the bucket at which a random pick begins.
func (x *index) randomStart(s Size, rng *rand.Rand) int {
	top := x.top()
	if top <= s.Cores {
		return maxCores
	}
	return s.Cores + rng.IntN(top-s.Cores+1)
}

// walk goes down from the bucket at limit and returns the best of up to budget
// workers, and how many it looked at.
func (x *index) walk(s Size, racks TasksByRack, rng *rand.Rand, limit, budget int) (*node, int) {
	var best *node
	looked := 0
	for b := x.below(limit); b >= s.Cores && b >= 0 && looked < budget; b = x.below(b - 1) {
		bucket := x.buckets[b]
		start := rng.IntN(len(bucket))
		tries := len(bucket)
		if budget == samples {
			tries = min(tries, bucketSamples)
		}
		for i := 0; i < tries && looked < budget; i++ {
			n := bucket[(start+i)%len(bucket)]
			looked++
			if s.Fits(n.free()) && (best == nil || racks[n.Rack] < racks[best.Rack]) {
				best = n
			}
		}
	}
	return best, looked
}
