package config

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

// history drives several hosts over one log with random faults. Reference
// holds the state after each offset, folded without any fault.
type history struct {
	t         *testing.T
	rng       *rand.Rand
	entries   []Entry
	first     int64
	reference []*standing.State
	hosts     []*Replica
	versions  []int64
	// checked holds the states that were compared last.
	checked   []*standing.State
	pending   []Plan
	confirmed map[string]bool
	accepted  map[string]bool
	plans     int
	late      *standing.State
}

func newHistory(t *testing.T, seed uint64, hosts int) *history {
	h := &history{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), first: 1, reference: []*standing.State{{}},
		confirmed: map[string]bool{}, accepted: map[string]bool{}, versions: make([]int64, hosts),
		checked: make([]*standing.State, hosts),
	}
	for range hosts {
		h.hosts = append(h.hosts, &Replica{})
	}
	return h
}

func (h *history) last() int64 { return int64(len(h.entries)) }

func (h *history) appendData(data []byte) {
	offset := h.last() + 1
	h.entries = append(h.entries, Entry{Offset: offset, Data: data})
	var ref Replica
	ref.state = h.reference[offset-1]
	folded := ref.fold(h.entries[offset-1:])
	h.reference = append(h.reference, ref.state)
	id := folded[0].Outcome.ID
	if folded[0].Kind != KindChange {
		return
	}
	if folded[0].Outcome.Accepted {
		require.True(h.t, h.confirmed[id], "accepted without a confirmed plan: %s", id)
		h.accepted[id] = true
	}
	if outcome, ok := ref.state.Outcome(id); ok && h.accepted[id] {
		require.True(h.t, outcome.Accepted, "accepted plan %s was rejected later", id)
	}
}

func (h *history) append(r Record) {
	data, err := r.Encode()
	require.NoError(h.t, err)
	h.appendData(data)
}

func (h *history) intent() Intent {
	h.plans++
	i := Intent{ID: fmt.Sprintf("intent-%d", h.plans), Operator: fmt.Sprintf("op-%d", h.rng.IntN(3)), Force: true}
	i.Customer = fmt.Sprintf("c%d", h.rng.IntN(3))
	i.Host = fmt.Sprintf("b%d", h.rng.IntN(4))
	i.Team = fmt.Sprintf("t%d", h.rng.IntN(3))
	weight := float64(h.rng.IntN(3))
	i.Weight = &weight
	i.Rules = &standing.Customer{QueueLimit: 1 + h.rng.IntN(9), Teams: map[string]standing.Team{"t0": {Cores: h.rng.IntN(5)}}}
	i.TeamRules = &standing.Team{Slots: h.rng.IntN(5)}
	i.Verb = verbs[h.rng.IntN(len(verbs))]
	return i
}

func (h *history) plan() {
	host := h.hosts[h.rng.IntN(len(h.hosts))]
	if host.State() == nil && h.last() > 0 {
		return
	}
	host.StartEmpty()
	site := ListedHosts{Backends: []Backend{{Name: "b0", Customer: "c0"}, {Name: "b1", Customer: "c0"}, {Name: "b2", Customer: "c1"}}}
	intent := h.intent()
	p, err := MakePlan(fmt.Sprintf("plan-%d", h.plans), host.State(), site, intent)
	if err == nil {
		h.pending = append(h.pending, p)
	}
}

// confirm appends a pending plan; a lost reply makes the operator send it
// again, a doubled request appends it twice.
func (h *history) confirm() {
	if len(h.pending) == 0 {
		return
	}
	n := h.rng.IntN(len(h.pending))
	p := h.pending[n]
	h.confirmed[p.ID] = true
	for range 1 + h.rng.IntN(2) {
		h.append(Record{Kind: KindChange, ID: p.ID, Plan: &p})
	}
	if h.rng.IntN(4) > 0 {
		h.pending = append(h.pending[:n], h.pending[n+1:]...)
	}
}

func (h *history) garbage() {
	switch h.rng.IntN(3) {
	case 0:
		h.appendData([]byte("{"))
	case 1:
		h.append(Record{Kind: "later", ID: "x"})
	default:
		if len(h.pending) > 0 {
			altered := h.pending[0]
			altered.Base += 5
			h.append(Record{Kind: KindChange, ID: altered.ID, Plan: &altered})
		}
	}
}

// read lets one host read a page of random length.
func (h *history) read(n int) {
	host := h.hosts[n]
	after := host.ReadAfter()
	if after+1 < h.first {
		host.LogTrimmed(h.first, h.last())
		return
	}
	upTo := after + int64(h.rng.IntN(8))
	upTo = min(upTo, h.last())
	page := Page{First: h.first, Last: h.last()}
	if upTo > after {
		page.Entries = h.entries[after:upTo]
	}
	if h.rng.IntN(5) == 0 && len(page.Entries) > 1 {
		// A reading with a hole.
		page.Entries = page.Entries[1:]
	}
	host.ApplyPage(page)
}

func (h *history) gossip(n int) {
	from := h.hosts[h.rng.IntN(len(h.hosts))]
	state, entries := from.RecordsSince(h.hosts[n].Offset(), h.hosts[n].Chain())
	if state != nil {
		// States travel encoded.
		data, err := json.Marshal(state)
		require.NoError(h.t, err)
		state = &standing.State{}
		require.NoError(h.t, json.Unmarshal(data, state))
	}
	if h.rng.IntN(3) == 0 {
		// A late answer of another peer.
		state, h.late = h.late, state
	}
	h.hosts[n].ApplyPeer(state, entries)
}

func (h *history) trim() {
	// The log never trims what a snapshot in it does not cover.
	for offset := h.last(); offset >= h.first; offset-- {
		r, err := Decode(h.entries[offset-1].Data)
		if err == nil && r.Kind == KindSnapshot {
			h.first = max(h.first, r.Snapshot.Offset+1)
			return
		}
	}
}

func (h *history) step() {
	n := h.rng.IntN(len(h.hosts))
	switch k := h.rng.IntN(100); {
	case k < 15:
		h.plan()
	case k < 30:
		h.confirm()
	case k < 33:
		h.garbage()
	case k < 36:
		if host := h.hosts[n]; host.Current() {
			h.append(host.Snapshot("s"))
		}
	case k < 38:
		h.trim()
	case k < 40:
		h.hosts[n], h.versions[n] = &Replica{}, 0
	case k < 50:
		h.gossip(n)
	default:
		h.read(n)
	}
	h.check(n)
}

func (h *history) check(n int) {
	state := h.hosts[n].State()
	if state == nil {
		return
	}
	require.GreaterOrEqual(h.t, state.Version, h.versions[n], "the version went back")
	h.versions[n] = state.Version
	if h.checked[n] == state {
		return
	}
	h.checked[n] = state
	want, err := json.Marshal(h.reference[state.Offset])
	require.NoError(h.t, err)
	got, err := json.Marshal(state)
	require.NoError(h.t, err)
	require.Equal(h.t, string(want), string(got), "states at offset %d differ", state.Offset)
}

func TestReplicasConvergeOnRandomHistories(t *testing.T) {
	for seed := range uint64(20) {
		h := newHistory(t, seed, 5)
		for range 400 {
			h.step()
		}
		require.NotEmpty(t, h.accepted)
		for n := range h.hosts {
			for range 200 {
				h.read(n)
				h.gossip(n)
			}
			h.check(n)
			require.Equal(t, h.last(), h.hosts[n].Offset(), "seed %d: host %d did not catch up", seed, n)
		}
	}
}

// TestFreshHostFromSnapshotAndTail checks that a start from a trimmed log
// gives the same state and outcomes as a full replay.
func TestNewReplicaFromSnapshotAndTail(t *testing.T) {
	for seed := range uint64(20) {
		h := newHistory(t, seed, 1)
		for h.last() < 60 {
			h.read(0)
			h.plan()
			h.confirm()
		}
		for !h.hosts[0].Current() {
			h.read(0)
		}
		h.append(h.hosts[0].Snapshot("s"))
		for range 20 {
			h.plan()
			h.confirm()
		}
		h.trim()
		require.Greater(t, h.first, int64(50))
		var fresh Replica
		fresh.LogTrimmed(h.first, h.last())
		require.Nil(t, fresh.State())
		fresh.ApplyPage(Page{Entries: h.entries[h.first-1:], First: h.first, Last: h.last()})
		require.True(t, fresh.Current())
		h.hosts[0] = &fresh
		h.check(0)
		require.Equal(t, h.reference[h.last()].Outcomes, fresh.State().Outcomes)
	}
}
