package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// playClaim: a machine is stopped as planned while another one stands still for less
// than half a second; some seconds later the same happens with two others, and again.
func playClaim(r *rig, trouble bool) {
	const rounds, each, ms, finishS = 3, 100, 3000, 14
	const jobs = rounds * each
	r.deployment(6, 24, maxAttempts)
	c := r.newClient()
	for round := range rounds {
		for n := range each {
			s := step(1, 2000, ms)
			s["required_label"] = labelOfFirstZone
			if !c.submit(n, jobID(round*each+n), job(ms, 2000, false, s)) {
				r.finish(2, "a job was not accepted")
			}
		}
		time.Sleep(500 * time.Millisecond)
		// The machine that is stopped is of the first zone, the other one is not.
		stopped, frozen := r.hosts[round%2*3], r.hosts[[]int{1, 4, 2}[round]]
		if trouble {
			frozen.signal(syscall.SIGSTOP)
			time.AfterFunc(450*time.Millisecond, func() { frozen.signal(syscall.SIGCONT) })
			time.Sleep(20 * time.Millisecond)
			stopped.stop()
			stopped.start()
		}
		time.Sleep(5 * time.Second)
	}
	// The traffic has ended: jobs are asked for finish_s later, and three seconds more.
	time.Sleep((finishS + ms/1000 + 3) * time.Second)
	stuck, first := 0, ""
	for n := range jobs {
		a := c.call(r.hosts[2], "GET", jobID(n), nil)
		if a.err == nil && a.status == http.StatusOK && a.state() == "completed" {
			continue
		}
		var last event
		for _, e := range r.seen() {
			if jobOf(e.task) == jobID(n) && e.kind != "noted" {
				last = e
			}
		}
		if stuck++; first == "" {
			first = fmt.Sprintf("%s is shown as %q; its task's last run was %s %v ago", jobID(n), a.state(), last.kind, time.Since(last.at).Round(time.Second))
		}
	}
	if stuck > 0 {
		r.finish(1, "LOST is broken: %d of %d jobs are not completed, and nothing of them runs; the first: %s", stuck, jobs, first)
	}
	r.finish(0, "LOST held: %d jobs are completed", jobs)
}
