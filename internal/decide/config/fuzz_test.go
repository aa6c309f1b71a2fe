package config

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

// FuzzRecord checks that no bytes in the log stop a host, change the state
// without a plan that verifies, or fold differently a second time.
func FuzzRecord(f *testing.F) {
	plan, _ := MakePlan("p", &standing.State{}, testSite, set("tamarind", standing.Customer{}))
	for _, r := range []Record{
		change(plan),
		{Kind: KindSnapshot, ID: "s", Snapshot: &standing.State{Version: 2, Offset: 3}},
		{Kind: "later"},
	} {
		data, _ := r.Encode()
		f.Add(data)
	}
	f.Add([]byte(`{"kind":"change","id":"p","plan":{"id":"p","intent":{"verb":"set_team"}}}`))
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, data []byte) {
		fold := func() *Replica {
			var r Replica
			r.ApplyPage(Page{Entries: []Entry{{Offset: 1, Data: data}}, First: 1, Last: 1})
			return &r
		}
		a, b := fold(), fold()
		// Only a snapshot from beyond the log's end leads past the record.
		require.GreaterOrEqual(t, a.Offset(), int64(1))
		require.Equal(t, a.Offset() > 1, a.Regressed())
		one, err := json.Marshal(a.State())
		require.NoError(t, err)
		two, _ := json.Marshal(b.State())
		require.Equal(t, string(one), string(two))
		if a.State().Version == 1 && a.State().Offset == 1 {
			r, err := Decode(data)
			require.NoError(t, err)
			if r.Kind == KindSnapshot {
				return
			}
			require.Nil(t, r.Plan.Verify())
		}
		var gapped Replica
		gapped.LogTrimmed(5, 9)
		gapped.ApplyPage(Page{Entries: []Entry{{Offset: 5, Data: data}}, First: 5, Last: 9})
		if s := gapped.State(); s != nil {
			require.GreaterOrEqual(t, s.Offset, int64(4))
			require.LessOrEqual(t, s.Version, s.Offset)
		}
	})
}

// FuzzPlan checks that no bytes make an operator's document crash a host.
func FuzzPlan(f *testing.F) {
	f.Add([]byte(`{"operator":"o","verb":"set_weight","customer":"c","host":"h","weight":1}`))
	f.Add([]byte(`{"operator":"o","verb":"set_customer","customer":"c","rules":{"eject":{"max_share":2}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var i Intent
		if json.Unmarshal(data, &i) != nil {
			return
		}
		i.ID = "i"
		p, err := MakePlan("p", &standing.State{}, testSite, i)
		if err != nil {
			return
		}
		_, outcome := Apply(&standing.State{}, 1, change(p))
		require.Equal(t, p.Verify() == nil, outcome.Accepted, outcome.Reason)
	})
}

// FuzzPeerState checks that no state from a peer takes a host back or stops it
// from folding what follows.
func FuzzPeerState(f *testing.F) {
	f.Add([]byte(`{"version":5,"offset":7,"customers":{"tamarind":{}},"drains":{"b1":{}},"chain":"x"}`))
	f.Add([]byte(`{"version":1,"offset":0}`))
	f.Add([]byte(`{"version":-1,"offset":9223372036854775807,"touched":{"a":{"version":9}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s standing.State
		if json.Unmarshal(data, &s) != nil {
			return
		}
		plan, _ := MakePlan("p", &standing.State{}, testSite, drain("w9"))
		record, err := change(plan).Encode()
		require.NoError(t, err)
		var r Replica
		r.ApplyPage(Page{Entries: []Entry{{Offset: 1, Data: record}}, First: 1, Last: 1})
		before := *r.State()
		r.ApplyPeer(&s, nil)
		require.GreaterOrEqual(t, r.State().Version, before.Version)
		require.LessOrEqual(t, r.State().Version, r.State().Offset)
		held := r.State()
		if held.Offset < 1<<62 {
			r.ApplyPage(Page{Entries: []Entry{{Offset: held.Offset + 1, Data: record}}, First: 1, Last: held.Offset + 1})
			require.Equal(t, held.Offset+1, r.Offset())
		}
		r.RecordsSince(0, "")
		r.RecordsSince(held.Offset, "other")
		r.RecordsSince(1<<62, "")
	})
}
