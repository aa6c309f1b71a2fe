package main

import (
	"fmt"
	"net/http"
	"time"
)

// playStop: a client cancels its best-effort job while the machine that answers it is
// being stopped. The platform sends new channels to other machines by then.
func playStop(r *rig, trouble bool) {
	const cancelMs, jobs, steps, ms = 3000, 12, 30, 300
	r.deployment(6, 24, maxAttempts)
	c := r.newClient()
	c.http.Timeout = 20 * time.Second
	// A small stored job, as on a system that has both kinds.
	if !c.submit(2, jobID(1<<20), job(50, 1000, false, step(1, 1000, 50))) {
		r.finish(2, "the stored job was not accepted")
	}
	var chain []map[string]any
	for i := range steps {
		if i == 0 {
			chain = append(chain, step(1, 1000, ms))
		} else {
			chain = append(chain, step(1, 1000, ms, i-1))
		}
	}
	h := r.hosts[0]
	for n := range jobs {
		j := job(ms, 1000, false, chain...)
		j["best_effort"] = true
		go c.call(h, "POST", jobID(n), j)
	}
	time.Sleep(time.Second)
	if trouble {
		go h.stop()
	}
	// The platform asks once a second and sends no new channels to a machine after two
	// misses.
	misses := 0
	next := h
	for range 5 {
		if !h.isReady() {
			if misses++; misses == 2 {
				next = r.hosts[1]
				break
			}
		}
		time.Sleep(time.Second)
	}
	acked := map[string]time.Time{}
	for n := range jobs {
		if a := c.call(next, "DELETE", jobID(n), nil); a.err == nil && (a.status == http.StatusOK || a.status == http.StatusGone) {
			acked[jobID(n)] = a.at
		}
	}
	time.Sleep(8 * time.Second)
	late, first := map[string]bool{}, ""
	for _, e := range r.seen() {
		at := acked[jobOf(e.task)]
		if e.kind == "start" && !at.IsZero() && e.at.Sub(at) > cancelMs*time.Millisecond {
			if late[jobOf(e.task)] = true; first == "" {
				first = fmt.Sprintf("%s starts on %s %v after the cancelling of its job was acknowledged", e.task, e.minion, e.at.Sub(at).Round(time.Millisecond))
			}
		}
	}
	if len(late) > 0 {
		r.finish(1, "UNASKED is broken for %d of %d cancelled jobs; the first: %s", len(late), jobs, first)
	}
	r.finish(0, "UNASKED held for %d cancelled jobs, %d acknowledged", jobs, len(acked))
}
