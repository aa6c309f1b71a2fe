package flow

import "time"

const (
	// yieldAfter is how long a host must have been saturated without a break. Bursts
	// saturate a sound host for less.
	yieldAfter = time.Second
	// maxYieldingShare is the inverse of the share of hosts that may be saturated, or
	// yield, for another one to yield: the rest has to carry its load.
	maxYieldingShare = 4
	// minYield and maxYield bound the time for which a host yields. It doubles each time
	// that the host is saturated again within maxYield after it took up work.
	minYield = 2 * time.Second
	maxYield = 16 * time.Second
)

// Yield decides whether a host that is saturated much longer than others gives its
// workers and its callers to them for a while: its processor or link has become slow,
// and its workers would stay idle. The zero value is ready to use.
type Yield struct {
	// saturatedSince is when the present saturation began, or zero.
	saturatedSince time.Time
	active         bool
	// until is when the host takes up work again, and length how long it last yielded.
	until  time.Time
	length time.Duration
}

// Active reports whether the host yields.
func (y *Yield) Active() bool { return y.active }

// Length returns for how long the host yields, or last yielded.
func (y *Yield) Length() time.Duration { return y.length }

// Update decides with the present state of the host, the number of the other hosts
// that could take over its workers, and how many of these are saturated or yield. It
// reports whether Active has changed.
func (y *Yield) Update(now time.Time, saturated bool, others, saturatedOthers int) bool {
	if y.active {
		if now.Before(y.until) {
			return false
		}
		y.active, y.saturatedSince = false, time.Time{}
		return true
	}
	if !saturated {
		y.saturatedSince = time.Time{}
		return false
	}
	if y.saturatedSince.IsZero() {
		y.saturatedSince = now
	}
	if now.Sub(y.saturatedSince) < yieldAfter || (saturatedOthers+1)*maxYieldingShare > others+1 {
		return false
	}
	if now.Sub(y.until) < maxYield {
		y.length = min(2*y.length, maxYield)
	} else {
		y.length = minYield
	}
	y.active, y.until = true, now.Add(y.length)
	return true
}
