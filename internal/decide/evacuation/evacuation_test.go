package evacuation

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var testZones = []string{"a", "b", "c"}

// stateAt returns the zones that are evacuated after the first n records.
func stateAt(log []Change, n int) map[string]bool {
	active := map[string]bool{}
	for _, c := range log[:n] {
		if c.Active {
			active[c.Zone] = true
		} else {
			delete(active, c.Zone)
		}
	}
	return active
}

// Guards against an older record, or an older full read, that overrides a newer one:
// hosts that get records repeated, reordered and incompletely agree with the log as
// soon as the newest record of each zone has reached them.
func TestHistoriesOfLostRepeatedAndReorderedRecords(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var log []Change
		for i := range 1 + rng.IntN(20) {
			log = append(log, Change{Zone: testZones[rng.IntN(len(testZones))], Offset: int64(i), Active: rng.IntN(2) == 0})
		}
		var hosts [4]Set
		for range 60 {
			h := &hosts[rng.IntN(len(hosts))]
			switch rng.IntN(4) {
			case 0:
				upTo := rng.IntN(len(log) + 1)
				h.ApplyList(stateAt(log, upTo), int64(upTo-1))
			case 1:
				for _, c := range hosts[rng.IntN(len(hosts))].Changes() {
					h.Apply(c)
				}
			default:
				h.Apply(log[rng.IntN(len(log))])
			}
		}
		for i := range hosts {
			for _, c := range log[rng.IntN(len(log)):] {
				hosts[i].Apply(c)
			}
			if rng.IntN(2) == 0 {
				hosts[i].ApplyList(stateAt(log, len(log)), int64(len(log)-1))
			} else {
				for _, at := range rng.Perm(len(log)) {
					hosts[i].Apply(log[at])
				}
			}
			want := stateAt(log, len(log))
			for _, zone := range testZones {
				require.Equal(t, want[zone], hosts[i].Active(zone), "seed %d, host %d, zone %s, log %v", seed, i, zone, log)
			}
			require.Len(t, hosts[i].Zones(), len(want), "seed %d", seed)
		}
	}
}

// Guards against an evacuation that stays in force after the store has trimmed the
// record that revoked it.
func TestFullReadThatLacksAKeyRevokesTheEvacuation(t *testing.T) {
	var s Set
	assert.False(t, s.Listed())
	assert.True(t, s.Apply(Change{Zone: "a", Offset: 4, Active: true}))
	assert.Empty(t, s.ApplyList(nil, 3), "an older full read does not cover the record")
	assert.True(t, s.Listed())
	assert.Equal(t, []Change{{Zone: "a", Offset: 9}, {Zone: "b", Offset: 9, Active: true}}, s.ApplyList(map[string]bool{"b": true}, 9))
	assert.False(t, s.Apply(Change{Zone: "a", Offset: 4, Active: true}), "the record arrives again")
	assert.True(t, s.Readmitted("a"))
	assert.True(t, s.Apply(Change{Zone: "a", Offset: 10, Active: true}))
	assert.Equal(t, []string{"a", "b"}, s.Zones())
}

// Guards against a host, cut off from the store, that keeps or spreads a revoked
// evacuation which the others know only by its absence from a full read.
func TestOutdatedStatementOfAnotherHostIsCorrected(t *testing.T) {
	var s Set
	s.ApplyList(nil, 9)
	outdated := Change{Zone: "a", Offset: 4, Active: true}
	assert.False(t, s.Apply(outdated))
	newer, ok := s.Correction(outdated)
	assert.True(t, ok)
	assert.Equal(t, Change{Zone: "a", Offset: 9}, newer)
	var other Set
	other.Apply(outdated)
	assert.True(t, other.Apply(newer))
	_, ok = other.Correction(newer)
	assert.False(t, ok, "no correction of the correction")
}

// Guards against hosts that disagree for good after two statements with one offset.
func TestEvacuationCountsIfOffsetsAreEqual(t *testing.T) {
	on, off := Change{Zone: "a", Offset: 4, Active: true}, Change{Zone: "a", Offset: 4}
	for _, order := range [][]Change{{on, off}, {off, on}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			var s Set
			for _, c := range order {
				s.Apply(c)
			}
			assert.True(t, s.Active("a"))
		})
	}
}
