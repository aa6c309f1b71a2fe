// Package quarantine decides what happens to a task after workers were lost
// under its runs: whether it is offered again, alone on a worker, later, or not
// at all. It does no I/O.
//
// A task may crash each worker that starts it. Its neighbors on the worker are
// lost with it, and a worker that is cut off looks like one that has crashed
// without a trace. So a task is given up only after workers are known to have
// crashed under it, and a suspect runs alone: a crash is then its own doing, and
// ends no other run.
package quarantine

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	// provenCrashes is the number of crashed workers after which a task is given
	// up if it was alone on one of them, and maxCrashes the number after which it
	// is given up in any case. Unconfirmed losses count only for
	// maxUnconfirmed.
	provenCrashes  = 2
	maxCrashes     = 3
	maxUnconfirmed = 4
	// reportDelay is how long a worker's last registrations before a crash may
	// take to arrive: the store's lag and the interval between reads, doubled.
	reportDelay = 3 * time.Second
	// heartbeatGap is less than the time between two heartbeats of a worker. A
	// worker has survived if registrations of the same incarnation arrive further
	// apart than that.
	heartbeatGap = time.Second
	// goneAfter is how long a worker's registration must be missing before the
	// worker is taken as gone. Registrations that expired with the store
	// unavailable are back within two seconds.
	goneAfter = 3 * time.Second
)

// Fate is what became of a worker under which a run was lost. Its values are
// stored in the log of stored jobs.
type Fate int

// The fates.
const (
	// Unknown means that the worker stopped answering.
	Unknown Fate = iota
	// Crashed means that the worker's process ended without notice.
	Crashed
	// Survived means that the worker was only cut off, or had announced its end.
	Survived
)

// String returns the fate as it appears in logs.
func (f Fate) String() string {
	names := [...]string{"unknown", "crashed", "survived"}
	if f >= 0 && int(f) < len(names) {
		return names[f]
	}
	return "invalid"
}

// Loss is a run that was lost with its worker. It is stored as JSON.
type Loss struct {
	// Run is the number of the run.
	Run int `json:"run"`
	// Worker, Address and StartTime identify the incarnation of the worker.
	Worker    string `json:"worker"`
	Address   string `json:"address"`
	StartTime int64  `json:"start_time"`
	// Alone is set if no other run was on the worker.
	Alone bool `json:"alone,omitempty"`
	// Bystander is set if another run had started on the worker distinctly later,
	// which is the more likely cause of a crash.
	Bystander bool `json:"bystander,omitempty"`
	// Unconfirmed is set if the run may not have been on the worker when it crashed:
	// its start was not answered, or the worker may have crashed later.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
	// Orphaned is set if contact with the worker's owner was lost, not with the
	// worker, so that a crash is unlikely until it shows.
	Orphaned bool `json:"orphaned,omitempty"`
	Fate     Fate `json:"fate,omitempty"`
}

// Verdict is what may happen to a task.
type Verdict int

// The verdicts.
const (
	// Unrestricted means that the task may run anywhere.
	Unrestricted Verdict = iota
	// Isolate means that the task may only run alone on a worker.
	Isolate
	// Hold means that the task must wait until the fate of lost workers is known.
	Hold
	// GiveUp means that the task crashes its workers.
	GiveUp
)

// String returns the verdict as it appears in logs.
func (v Verdict) String() string {
	names := [...]string{"unrestricted", "isolate", "hold", "give up"}
	if v >= 0 && int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}

// loss is a Loss and what has been observed of its worker since.
type loss struct {
	Loss
	at time.Time
	// heardAt is when a registration of the same incarnation first arrived that
	// the worker may have written after the loss, and missingSince when its
	// registration was first found missing.
	heardAt, missingSince time.Time
}

// History is the losses of one task. The zero value is an empty history.
type History struct{ losses []*loss }

// Add adds a loss that was found now. A loss of the same run on the same worker
// replaces the former one; a job that is submitted again numbers its runs anew.
func (h *History) Add(now time.Time, l Loss) {
	for _, old := range h.losses {
		if old.Run == l.Run && old.Worker == l.Worker && old.StartTime == l.StartTime {
			old.Loss = l
			return
		}
	}
	h.losses = append(h.losses, &loss{Loss: l, at: now})
}

// Open reports whether the fate of a lost worker is unknown.
func (h *History) Open() bool {
	for _, l := range h.losses {
		if l.Fate == Unknown {
			return true
		}
	}
	return false
}

// Crashes returns the number of workers that are known to have crashed.
func (h *History) Crashes() int {
	n := 0
	for _, l := range h.losses {
		if l.Fate == Crashed {
			n++
		}
	}
	return n
}

// Registry holds the present registrations of workers.
type Registry interface {
	// Worker returns the registration with an ID and when it last arrived.
	Worker(id string) (w fleet.Worker, heardAt time.Time, ok bool)
	// WorkerAt returns the ID of the worker that registered an address last.
	WorkerAt(address string) string
}

// Resolve determines the fate of lost workers from their registrations. It
// returns the losses whose worker is now known to have crashed.
func (h *History) Resolve(now time.Time, r Registry) []Loss {
	var crashed []Loss
	for _, l := range h.losses {
		if l.Fate != Unknown {
			continue
		}
		l.Fate = l.fate(now, r)
		if l.Fate == Crashed {
			// A worker that was heard from after the loss may have crashed later, under
			// another task.
			l.Unconfirmed = l.Unconfirmed || l.Orphaned || !l.heardAt.IsZero()
			crashed = append(crashed, l.Loss)
		}
	}
	return crashed
}

func (l *loss) fate(now time.Time, r Registry) Fate {
	w, heardAt, ok := r.Worker(l.Worker)
	switch id := r.WorkerAt(l.Address); {
	case ok && w.StartTime > l.StartTime, id != "" && id != l.Worker:
		return Crashed
	case ok && w.Draining:
		return Survived
	case !ok:
		if l.missingSince.IsZero() {
			l.missingSince = now
		}
		if now.Sub(l.missingSince) >= goneAfter {
			return Crashed
		}
		return Unknown
	}
	l.missingSince = time.Time{}
	switch {
	case heardAt.Sub(l.at) < reportDelay:
	case l.heardAt.IsZero():
		l.heardAt = heardAt
	case heardAt.Sub(l.heardAt) >= heartbeatGap:
		return Survived
	}
	return Unknown
}

// Verdict returns what may happen to the task.
func (h *History) Verdict() Verdict {
	crashes, confirmed, open, suspected, proven := 0, 0, 0, false, false
	for _, l := range h.losses {
		switch l.Fate {
		case Unknown:
			if !l.Orphaned {
				open++
			}
		case Crashed:
			crashes++
			suspected = suspected || !l.Bystander
			if !l.Unconfirmed {
				confirmed++
				proven = proven || l.Alone
			}
		case Survived:
		}
	}
	switch {
	case crashes >= maxUnconfirmed || confirmed >= maxCrashes || confirmed >= provenCrashes && proven:
		return GiveUp
	case open > 0 && crashes+open >= provenCrashes:
		return Hold
	case suspected || crashes >= provenCrashes:
		return Isolate
	}
	return Unrestricted
}
