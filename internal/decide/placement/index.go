package placement

import (
	"math/bits"
	"math/rand/v2"
)

const bitmapWords = maxCores/64 + 1

// index keeps workers in buckets by their free cores, so that a pick and an
// update cost the same at any number of workers.
type index struct {
	buckets  [maxCores + 1][]*node
	nonEmpty [bitmapWords]uint64
}

// top returns the largest free count that some worker has, or 0.
func (x *index) maxFreeCores() int { return max(0, x.highestBucket(maxCores)) }

// below returns the fullest bucket at or under limit that holds a worker, or
// -1.
func (x *index) highestBucket(limit int) int {
	if limit < 0 {
		return -1
	}
	word := limit / 64
	mask := x.nonEmpty[word] & (^uint64(0) >> (63 - limit%64))
	for {
		if mask != 0 {
			return word*64 + 63 - bits.LeadingZeros64(mask)
		}
		if word == 0 {
			return -1
		}
		word--
		mask = x.nonEmpty[word]
	}
}

func (x *index) add(n *node, bucket int) {
	n.memberOf, n.bucket, n.pos = x, bucket, len(x.buckets[bucket])
	x.buckets[bucket] = append(x.buckets[bucket], n)
	x.nonEmpty[bucket/64] |= 1 << (bucket % 64)
}

// unlink takes the worker out of its bucket.
func (n *node) removeFromIndex() {
	x := n.memberOf
	if x == nil {
		return
	}
	bucket := x.buckets[n.bucket]
	last := bucket[len(bucket)-1]
	bucket[n.pos] = last
	last.pos = n.pos
	x.buckets[n.bucket] = bucket[:len(bucket)-1]
	if len(bucket) == 1 {
		x.nonEmpty[n.bucket/64] &^= 1 << (n.bucket % 64)
	}
	n.memberOf = nil
}

// reindex moves the worker to the bucket of its free cores. A worker that may
// get no task is in no bucket.
func (f *Fleet) reindex(n *node) {
	open := n.usable && !n.reserved && n.health.acceptsTask(n.used)
	set := &f.remote
	if n.Home && f.policy == PolicyHome {
		set = &f.home
	}
	bucket := min(maxCores, n.free().Cores)
	if open && n.memberOf == set && n.bucket == bucket {
		return
	}
	n.removeFromIndex()
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
	best, looked := x.scan(s, racks, rng, limit, maxSamples)
	if best == nil && (looked >= maxSamples || limit < maxCores) {
		best, _ = x.scan(s, racks, rng, maxCores, 1<<30)
	}
	return best
}

// randomStart draws the bucket at which a random pick begins.
func (x *index) randomStart(s Size, rng *rand.Rand) int {
	top := x.maxFreeCores()
	if top <= s.Cores {
		return maxCores
	}
	return s.Cores + rng.IntN(top-s.Cores+1)
}

// walk goes down from the bucket at limit and returns the best of up to budget
// workers, and how many it looked at.
func (x *index) scan(s Size, racks TasksByRack, rng *rand.Rand, limit, budget int) (*node, int) {
	var best *node
	looked := 0
	for b := x.highestBucket(limit); b >= s.Cores && b >= 0 && looked < budget; b = x.highestBucket(b - 1) {
		bucket := x.buckets[b]
		start := rng.IntN(len(bucket))
		tries := len(bucket)
		if budget == maxSamples {
			tries = min(tries, maxBucketSamples)
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
