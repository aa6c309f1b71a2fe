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
	// SnapshotInterval is the time after which a snapshot is due. The log has
	// to hold records for at least twice as long.
	SnapshotInterval = 10 * time.Minute
	// rankDelay is the time between the turns of two entry hosts.
	rankDelay = 2 * time.Second
)

// Snapshot returns a record of the state, to be appended to the log.
func (r *Replica) Snapshot(id string) Record {
	return Record{Kind: KindSnapshot, ID: id, Snapshot: r.state}
}

// SnapshotDue returns the rule by which the state has to be published again,
// or "" if it does not. Age is the time since a snapshot was last seen in the
// log.
func (r *Replica) SnapshotDue(age time.Duration) string {
	switch {
	case !r.Current() || r.state.Version == 0:
		return ""
	case r.snapshotAt == 0:
		return "no snapshot seen"
	case r.snapshotAt < r.first, r.snapshotOf < r.first-1:
		return "snapshot trimmed"
	case r.state.Offset-r.snapshotOf > snapshotRecords:
		return "many records since"
	case age >= SnapshotInterval:
		return "snapshot old"
	}
	return ""
}

// SnapshotTurn returns how long the host waits after a snapshot became due, so
// that another host is first as a rule. The order changes with salt.
func SnapshotDelay(self string, hosts []string, salt int64) time.Duration {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(a, salt), weight(b, salt)), cmp.Compare(a, b))
	})
	return time.Duration(max(0, slices.Index(ranked, self))) * rankDelay
}

func weight(host string, salt int64) uint64 {
	h := fnv.New64a()
	// Writes to a hash do not fail.
	_, _ = h.Write([]byte(host))
	_, _ = h.Write([]byte{byte(salt), byte(salt >> 8), byte(salt >> 16), byte(salt >> 24)})
	return h.Sum64()
}
