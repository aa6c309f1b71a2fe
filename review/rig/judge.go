package main

import "time"

// twice returns the first break of TWICE for jobs that are kept: two runs of a task
// at the same time on minions that are up, or a start after a run has ended done
// whose end is taken note of then or later, with no lapse of the lease in between.
func twice(events []event) (count int, first string) {
	type key struct {
		minion string
		life   int64
		task   string
		run    int
	}
	noted := map[key]bool{}
	for _, e := range events {
		if e.kind == "noted" && e.end == "done" && !e.lapsed {
			noted[key{e.minion, e.life, e.task, e.run}] = true
		}
	}
	open := map[string]map[key]bool{}
	doneAt := map[string]time.Time{}
	broken := map[string]bool{}
	for _, e := range events {
		k := key{e.minion, e.life, e.task, e.run}
		switch e.kind {
		case "noted":
		case "start":
			why := ""
			if len(open[e.task]) > 0 {
				why = "while another run is at work"
			} else if at, ok := doneAt[e.task]; ok {
				why = "after a run has ended done " + e.at.Sub(at).Round(time.Millisecond).String() + " before, taken note of"
			}
			if why != "" && !broken[e.task] {
				broken[e.task] = true
				if count++; first == "" {
					first = e.task + " run " + itoa(e.run) + " starts on " + e.minion + " " + why
				}
			}
			if open[e.task] == nil {
				open[e.task] = map[key]bool{}
			}
			open[e.task][k] = true
		default:
			delete(open[e.task], k)
			if e.kind == "done" && noted[k] {
				doneAt[e.task] = e.at
			}
		}
	}
	return count, first
}

// overBudget returns the starts after max_attempts runs of a task have ended failed,
// if these ends are taken note of then or later, with no lapse of the lease in between.
func overBudget(events []event, maxAttempts int) (count int, first string) {
	type key struct {
		minion string
		life   int64
		task   string
		run    int
	}
	noted := map[key]bool{}
	for _, e := range events {
		if e.kind == "noted" && e.end == "failed" && !e.lapsed {
			noted[key{e.minion, e.life, e.task, e.run}] = true
		}
	}
	failed := map[string]int{}
	for _, e := range events {
		switch e.kind {
		case "start":
			if failed[e.task] >= maxAttempts {
				if count++; first == "" {
					first = e.task + " run " + itoa(e.run) + " starts on " + e.minion + " after " + itoa(failed[e.task]) + " runs have ended failed, all taken note of"
				}
			}
		case "failed":
			if noted[key{e.minion, e.life, e.task, e.run}] {
				failed[e.task]++
			}
		}
	}
	return count, first
}
