//go:build e2e

package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// drawFault draws one fault and returns its name and the functions that begin and
// end it.
func (f *fleet) drawFault(rng *rand.Rand) (string, func(), func()) {
	h, w := f.hosts[rng.IntN(len(f.hosts))], f.workers[rng.IntN(len(f.workers))]
	degrade := func(p *proxy, m mode) (func(), func()) {
		return func() { p.set(m) }, func() { p.set(passThrough) }
	}
	modes := map[mode]string{delaying: "delays", dropAll: "drops everything", dropReplies: "drops replies", resetting: "resets"}
	m := []mode{delaying, dropAll, dropReplies, resetting}[rng.IntN(4)]
	nothing := func() {}
	switch rng.IntN(11) {
	case 0:
		return "kill " + h.name, func() { h.markDisrupted(); f.restart(h, syscall.SIGKILL) }, h.markDisrupted
	case 1:
		return "stop " + h.name, func() { f.restart(h, syscall.SIGTERM) }, nothing
	case 2:
		return "freeze " + h.name, func() { f.freeze(h, true) }, func() { f.freeze(h, false) }
	case 3:
		return "reload " + h.name, func() { h.signal(syscall.SIGHUP) }, nothing
	case 4, 5:
		begin, end := degrade(h.store, m)
		return fmt.Sprintf("store for %s %s", h.name, modes[m]), begin, end
	case 6, 7:
		begin, end := degrade(w.proxy, m)
		return fmt.Sprintf("%s %s", w.id, modes[m]), begin, end
	case 8:
		return "store down", func() { f.store.SetDown(true) }, func() { f.store.SetDown(false) }
	case 9:
		return "restart " + w.id, func() { f.restartWorker(w, h == f.hosts[0]) }, nothing
	default:
		return "failing " + w.id, func() { w.standin.SetFailing(true) }, func() { w.standin.SetFailing(false) }
	}
}

// restartWorker ends a worker's process and starts the next one at once. Its connections
// end with it, in order or, if it loses power, without a word.
func (f *fleet) restartWorker(w *worker, losesPower bool) {
	if losesPower {
		w.proxy.loseProcess()
		w.standin.Restart()
		f.register(w)
		return
	}
	if !w.away.CompareAndSwap(false, true) {
		// It has crashed, and has no connections.
		w.standin.Restart()
		f.register(w)
		return
	}
	w.proxy.endProcess()
	w.standin.Restart()
	if err := w.proxy.startProcess(); err != nil {
		f.ledger.locked(func() { f.ledger.fail("worker %s does not start again: %v", w.id, err) })
	}
	f.register(w)
	w.away.Store(false)
}

// freeze suspends or resumes a host's process.
func (f *fleet) freeze(h *host, frozen bool) {
	h.markDisrupted()
	h.mu.Lock()
	h.frozen = frozen
	h.mu.Unlock()
	if frozen {
		h.signal(syscall.SIGSTOP)
	} else {
		h.signal(syscall.SIGCONT)
	}
}

// A seed runs faultsPerSeed faults, which may overlap. Each lasts between
// minFaultDuration and minFaultDuration+faultDurationRange.
const (
	faultsPerSeed      = 10
	faultDurationRange = 2500 * time.Millisecond
	minFaultDuration   = 200 * time.Millisecond
)
