package host

import "time"

// handOverDelay is how long after the beginning of a planned stop this host hands its workers
// over at the earliest: hosts that begin to stop at the same time learn of each other.
const handOverDelay = 100 * time.Millisecond

// Leave prepares a planned stop: it limits the deadlines of jobs so that they are answered
// before the callers' port ends, and lets Tick hand this host's workers over as soon as
// other hosts can take them.
func (c *Core) Leave(now, portEnds time.Time) {
	c.stopping, c.stopBegan = true, now
	c.Coordinator.Leave(now, portEnds)
}

// handOverToSuccessors hands over what other hosts can take over if this host is stopping.
// What they cannot would have no owner, or one that cannot serve with it, although this
// host still runs.
func (c *Core) handOverToSuccessors(now time.Time) {
	if !c.stopping || c.leaving || now.Sub(c.stopBegan) < handOverDelay {
		return
	}
	shards, workers := c.Coordinator.HasSuccessors()
	c.givesUpShards = c.givesUpShards || shards
	if workers {
		c.HandOver()
	}
}

// HandOver hands everything over that this host still owns. It returns all queued tasks
// to their hosts and marks the host's reports as leaving. The workers and shards are
// released when the memberships end.
func (c *Core) HandOver() {
	if c.leaving {
		return
	}
	c.leaving, c.givesUpShards = true, true
	c.Pool.ReturnQueue("planned stop")
}

// shardSettleTime is how long a host that ends soon waits for the tasks that it has offered
// before it records the handover of their shards: the way to their hosts and back.
const shardSettleTime = 40 * time.Millisecond

// HandOverShards hands the shards over although no other host stays. It comes before
// HandOver: the owners of the runs that go on are known while the workers are owned.
func (c *Core) HandOverShards(now time.Time) {
	c.givesUpShards = true
	c.Ledger.LeaveBy(now, now.Add(shardSettleTime))
}

// HandsOver reports whether this host hands its shards and its workers over, so that its
// memberships in their groups have to end.
func (c *Core) HandsOver() (shards, workers bool) { return c.givesUpShards, c.leaving }
