package placement

import (
	"math/bits"
	"math/rand/v2"
)

// bitmapWords is the number of 64-bit words in the bitmap of non-empty buckets.
const bitmapWords = maxCores/64 + 1

// index keeps workers in buckets by their free cores, so that the cost of a pick
// and of an update does not depend on the number of workers.
type index struct {
	buckets  [maxCores + 1][]*node
	nonEmpty [bitmapWords]uint64
}

// maxFreeCores returns the largest number of free cores of a worker, or 0 if the
// index is empty.
func (x *index) maxFreeCores() int { return max(0, x.highestBucket(maxCores)) }

// highestBucket returns the highest non-empty bucket up to limit, or -1.
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

// removeFromIndex removes the worker from its bucket.
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

// reindex moves the worker to the bucket of its free cores. A worker that may not
// get tasks is in no bucket.
func (f *Fleet) reindex(n *node) {
	accepts := n.usable && !n.reserved && n.health.acceptsTask(n.used)
	set := &f.remote
	if n.Home && f.policy == PolicyHome {
		set = &f.home
	}
	bucket := min(maxCores, n.free().Cores)
	if accepts && n.memberOf == set && n.bucket == bucket {
		return
	}
	n.removeFromIndex()
	if accepts {
		set.add(n, bucket)
	}
}

// pick returns a worker with free capacity for the size, or nil. It examines a
// bounded number of workers, those with the most free cores first, and returns the
// one whose rack holds the fewest tasks of the job. If none of them fits, and it
// examined maxSamples workers or started at a random bucket, it scans all workers.
func (x *index) pick(s Size, racks TasksByRack, rng *rand.Rand, policy Policy) *node {
	limit := maxCores
	if policy == PolicyRandom {
		limit = x.randomStart(s, rng)
	}
	best, examined := x.scan(s, racks, rng, limit, maxSamples)
	if best == nil && (examined >= maxSamples || limit < maxCores) {
		best, _ = x.scan(s, racks, rng, maxCores, 1<<30)
	}
	return best
}

// randomStart returns the random bucket at which a pick with PolicyRandom starts.
func (x *index) randomStart(s Size, rng *rand.Rand) int {
	top := x.maxFreeCores()
	if top <= s.Cores {
		return maxCores
	}
	return s.Cores + rng.IntN(top-s.Cores+1)
}

// scan examines up to budget workers in the buckets from limit downwards. It
// returns the fitting one whose rack holds the fewest tasks of the job, or nil, and
// the number of workers examined.
func (x *index) scan(s Size, racks TasksByRack, rng *rand.Rand, limit, budget int) (*node, int) {
	var best *node
	examined := 0
	for b := x.highestBucket(limit); b >= s.Cores && b >= 0 && examined < budget; b = x.highestBucket(b - 1) {
		bucket := x.buckets[b]
		start := rng.IntN(len(bucket))
		tries := len(bucket)
		if budget == maxSamples {
			tries = min(tries, maxBucketSamples)
		}
		for i := 0; i < tries && examined < budget; i++ {
			n := bucket[(start+i)%len(bucket)]
			examined++
			if s.Fits(n.free()) && (best == nil || racks[n.Rack] < racks[best.Rack]) {
				best = n
			}
		}
	}
	return best, examined
}
