// Package place chooses workers for tasks. It is pure.
package place

import (
	"math/rand/v2"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
)

// Worker is a worker as the placement sees it.
type Worker struct {
	Name string
	Zone string
	Rack string
	// Cores, MemoryMB and Accelerators are the capacity.
	Cores        int
	MemoryMB     int
	Accelerators int
	// UsedCores, UsedMemoryMB and UsedAccelerators are what is taken.
	UsedCores        int
	UsedMemoryMB     int
	UsedAccelerators int
}

// Fits reports whether the task fits into what is free.
func (w *Worker) Fits(t callerapi.Task) bool {
	return w.UsedCores+t.Cores <= w.Cores &&
		w.UsedMemoryMB+t.MemoryMB <= w.MemoryMB &&
		w.UsedAccelerators+t.Accelerators <= w.Accelerators
}

// CouldFit reports whether the task fits into an idle worker.
func (w *Worker) CouldFit(t callerapi.Task) bool {
	return t.Cores <= w.Cores && t.MemoryMB <= w.MemoryMB && t.Accelerators <= w.Accelerators
}

// Take counts a task in.
func (w *Worker) Take(t callerapi.Task) {
	w.UsedCores += t.Cores
	w.UsedMemoryMB += t.MemoryMB
	w.UsedAccelerators += t.Accelerators
}

// Give counts a task out.
func (w *Worker) Give(t callerapi.Task) {
	w.UsedCores -= t.Cores
	w.UsedMemoryMB -= t.MemoryMB
	w.UsedAccelerators -= t.Accelerators
}

// Pick returns the worker with the most free cores that fits the task, or nil.
// Ties are broken at random.
func Pick(workers []*Worker, t callerapi.Task, rng *rand.Rand) *Worker {
	var best *Worker
	ties := 0
	for _, w := range workers {
		if !w.Fits(t) {
			continue
		}
		free := w.Cores - w.UsedCores
		switch {
		case best == nil || free > best.Cores-best.UsedCores:
			best, ties = w, 1
		case free == best.Cores-best.UsedCores:
			ties++
			if rng.IntN(ties) == 0 {
				best = w
			}
		}
	}
	return best
}
