// Package readpace decides how much a host reads from the store at once and how
// long it pauses after a failed read, so that many hosts that catch up after an
// outage do not overload the store with reads that time out.
package readpace

import "time"

const (
	// MaxKB is the size of a read while reads succeed, in KB.
	MaxKB = 1024
	// MinKB is the size of a read after repeated failures, in KB: one heartbeat of
	// some hundred workers. At it, 150 hosts read 10 MB in one round, an eighth of a
	// second of a store that delivers 80 MB/s.
	MinKB = 64
	// minDelay is the shortest pause after the first failure, maxDelay the longest
	// pause. A configuration has to be in force 3 s after the store serves again.
	minDelay = 200 * time.Millisecond
	maxDelay = time.Second
)

// Pacer paces the reads of one topic. The zero value is ready to use.
type Pacer struct {
	// shift is by how many halvings the reads are smaller than MaxKB.
	shift int
	// failures is the number of consecutive failures.
	failures int
}

// KB returns the largest size of the next read, in KB.
func (p *Pacer) KB() int { return max(MaxKB>>p.shift, MinKB) }

// Succeeded records a read that was answered. Reads grow again.
func (p *Pacer) Succeeded() { p.shift, p.failures = max(0, p.shift-1), 0 }

// Failed records a read that failed, and returns the pause before the next one.
// Random is in [0, 1); it spreads the hosts, whose reads failed at the same time.
func (p *Pacer) Failed(random float64) time.Duration {
	if p.KB() > MinKB {
		p.shift++
	}
	delay := min(minDelay<<min(p.failures, 8), maxDelay)
	p.failures++
	return min(delay+time.Duration(random*float64(delay)), maxDelay)
}
