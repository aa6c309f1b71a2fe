package host

import (
	"fmt"
	"strings"
	"time"
)

// note is something that happened to a job, or to a host if job is empty.
type note struct {
	at   time.Time
	job  string
	text string
	// renewal is set for the renewal of a lease.
	renewal bool
}

func (w *world) note(job, format string, args ...any) {
	w.notes = append(w.notes, note{at: w.now, job: job, text: fmt.Sprintf(format, args...)})
}

// noteRenewal notes the renewal of the runs on a worker, and when their hosts were heard
// by the worker's owner.
func (w *world) noteRenewal(h *simHost, sw *simWorker, until time.Duration) {
	for _, id := range sw.sortedRuns() {
		j := w.jobs[id.Task.Job]
		heard := ""
		if j.host != nil && j.host != h {
			heard = ", no stream to " + j.host.name
			if l := h.links[j.host.name]; l != nil {
				heard = fmt.Sprintf(", %s heard %v ago", j.host.name, w.now.Sub(l.heardAt))
			}
		}
		w.note(j.id, "%s renews %v on %s for %v%s", h.name, id, sw.info.ID, until-sw.now(), heard)
		w.notes[len(w.notes)-1].renewal = true
	}
}

// suspect remembers the job of the first problem.
func (w *world) suspect(j *simJob) {
	if w.suspected == nil {
		w.suspected, w.suspectedAt = j, w.now
	}
}

// trace returns what happened to a job, and to the hosts meanwhile. Of several renewals in
// a row it has only the last one.
func (w *world) trace(job string, until time.Time) string {
	var lines []string
	began, renewal := false, false
	for _, n := range w.notes {
		began = began || n.job == job
		if n.at.After(until) || n.job != job && (n.job != "" || !began) {
			continue
		}
		if renewal && n.renewal {
			lines = lines[:len(lines)-1]
		}
		renewal = n.renewal
		lines = append(lines, fmt.Sprintf("%7.3f %s", n.at.Sub(testEpoch).Seconds(), n.text))
	}
	return strings.Join(lines, "\n")
}
