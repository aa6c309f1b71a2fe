package nearwait

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// MaxAhead bounds the waiting tasks that are placed before the task in question,
// which bounds the work of one decision. A rack of 20 workers of 16 cores runs
// about 40 tasks at once; three times as many ahead exceed every wait that pays.
const MaxAhead = 128

// Release is capacity of a worker that is expected to become free.
type Release struct {
	At   time.Time
	Size fleet.Size
}

// Worker is the free capacity of a worker, now and later.
type Worker struct {
	Free     fleet.Size
	Releases []Release
}

// Demand is what a waiting task takes.
type Demand struct {
	Size    fleet.Size
	RunTime time.Duration
}

// ExpectedStart returns when a task is expected to start on one of the workers,
// after the tasks ahead of it, each on the worker that is free for it first. It
// returns false if the workers' known capacity never suffices. It changes workers.
func ExpectedStart(now time.Time, workers []Worker, ahead []Demand, size fleet.Size) (time.Time, bool) {
	for i := range workers {
		slices.SortFunc(workers[i].Releases, func(a, b Release) int { return a.At.Compare(b.At) })
	}
	for _, d := range ahead[:min(len(ahead), MaxAhead)] {
		if w, at := first(now, workers, d.Size); w != nil {
			w.place(at, d)
		}
	}
	w, at := first(now, workers, size)
	return at, w != nil
}

// first returns the worker on which a task can start first, and when.
func first(now time.Time, workers []Worker, size fleet.Size) (*Worker, time.Time) {
	var best *Worker
	var bestAt time.Time
	for i := range workers {
		w := &workers[i]
		free, at := w.Free, now
		for k := 0; !size.Fits(free) && k < len(w.Releases); k++ {
			free, at = free.Add(w.Releases[k].Size), later(at, w.Releases[k].At)
		}
		if size.Fits(free) && (best == nil || at.Before(bestAt)) {
			best, bestAt = w, at
		}
	}
	return best, bestAt
}

// place lets a task run on the worker from a time on.
func (w *Worker) place(at time.Time, d Demand) {
	w.Free = w.Free.Sub(d.Size)
	end := Release{At: at.Add(d.RunTime), Size: d.Size}
	i, _ := slices.BinarySearchFunc(w.Releases, end, func(a, b Release) int { return a.At.Compare(b.At) })
	w.Releases = slices.Insert(w.Releases, i, end)
}
