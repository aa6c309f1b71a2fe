package config

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// snapshotRecords is the number of records after which a snapshot is due.
	snapshotRecords = 256
	// SnapshotInterval is the time after which a snapshot is due. The log must
	// keep records for at least twice as long.
	SnapshotInterval = 10 * time.Minute
	// rankDelay is the difference between the delays of two entry hosts that
	// follow each other in the order of SnapshotDelay.
	rankDelay = 2 * time.Second
)

// Snapshot returns a record with the whole state, to be appended to the log.
func (r *Replica) Snapshot(id string) Record {
	return Record{Kind: KindSnapshot, ID: id, Snapshot: r.state}
}

// SnapshotDue returns the rule by which a new snapshot is due, or "" if none is.
// The age is the time since a snapshot was last seen in the log.
func (r *Replica) SnapshotDue(age time.Duration) string {
	switch {
	case !r.Current() || r.state.Version == 0:
		return ""
	case r.snapshotOffset == 0:
		return "no snapshot seen"
	case r.snapshotOffset < r.first, r.snapshotStateOffset < r.first-1:
		return "snapshot trimmed"
	case r.state.Offset-r.snapshotStateOffset > snapshotRecords:
		return "many records since"
	case age >= SnapshotInterval:
		return "snapshot old"
	}
	return ""
}

// SnapshotDelay returns how long the host self waits after a snapshot became due
// before it publishes one. Each of the hosts has a different delay, so that
// usually only the first in order publishes. The order changes with salt.
func SnapshotDelay(self string, hosts []string, salt int64) time.Duration {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rankHash(a, salt), rankHash(b, salt)), cmp.Compare(a, b))
	})
	return time.Duration(max(0, slices.Index(ranked, self))) * rankDelay
}

// rankHash returns the value by which SnapshotDelay orders the hosts.
func rankHash(host string, salt int64) uint64 {
	h := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = h.Write([]byte(host))
	_, _ = h.Write([]byte{byte(salt), byte(salt >> 8), byte(salt >> 16), byte(salt >> 24)})
	return h.Sum64()
}
