package config

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

// dayOfChanges returns records of changes of two customers with 37 teams, as
// many as a day brings at the size to design for.
func dayOfChanges(b *testing.B, n int) ([]Entry, *Replica) {
	b.Helper()
	var r Replica
	r.StartEmpty()
	var entries []Entry
	for i := range n {
		intent := Intent{ID: fmt.Sprintf("intent-%036d", i), Operator: "wanjiru", Reason: "a change of the day", Force: true}
		switch customer := fmt.Sprint("customer-", i%2); {
		case i < 2:
			intent.Verb, intent.Customer, intent.Rules = SetCustomer, customer, &standing.Customer{}
		case i%3 == 0:
			intent.Verb, intent.Host = Drain, fmt.Sprint("worker-", i%880)
		default:
			intent.Verb, intent.Customer, intent.Team = SetTeam, customer, fmt.Sprint("team-", i%37)
			intent.TeamRules = &standing.Team{Cores: i % 100, Slots: i % 8}
		}
		p, err := MakePlan(fmt.Sprintf("plan-%036d", i), r.State(), testSite, intent)
		if err != nil {
			b.Fatal(err)
		}
		data, _ := change(p).Encode()
		e := Entry{Offset: int64(i) + 1, Data: data}
		entries = append(entries, e)
		r.ApplyPage(Page{Entries: []Entry{e}, First: 1, Last: e.Offset})
	}
	return entries, &r
}

// BenchmarkReplay folds 1,000 records and prints the sizes of a day.
func BenchmarkReplay(b *testing.B) {
	const records = 1000
	entries, full := dayOfChanges(b, 2*records)
	snapshot, err := json.Marshal(full.State())
	if err != nil {
		b.Fatal(err)
	}
	bytes := 0
	for _, e := range entries {
		bytes += len(e.Data)
	}
	page := Page{Entries: entries[:records], First: 1, Last: records}
	for b.Loop() {
		var r Replica
		if got := r.ApplyPage(page); len(got) != records || !r.Current() {
			b.Fatal("not folded")
		}
	}
	b.ReportMetric(float64(len(snapshot)), "snapshot-B")
	b.ReportMetric(float64(bytes)/float64(len(entries)), "record-B")
	b.ReportMetric(float64(full.tailBytes), "tail-B")
}
