//go:build e2e

package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// fault draws one fault and returns its name, and what begins and ends it.
func (f *fleet) fault(rng *rand.Rand) (string, func(), func()) {
	h, w := f.hosts[rng.IntN(len(f.hosts))], f.workers[rng.IntN(len(f.workers))]
	harm := func(p *proxy, m mode) (func(), func()) {
		return func() { p.set(m) }, func() { p.set(passing) }
	}
	modes := map[mode]string{delaying: "delays", silent: "is silent", mute: "answers nothing", refusing: "resets"}
	m := []mode{delaying, silent, mute, refusing}[rng.IntN(4)]
	nothing := func() {}
	switch rng.IntN(11) {
	case 0:
		return "kill " + h.name, func() { h.harm(); f.end(h, syscall.SIGKILL) }, h.harm
	case 1:
		return "stop " + h.name, func() { f.end(h, syscall.SIGTERM) }, nothing
	case 2:
		return "freeze " + h.name, func() { f.freeze(h, true) }, func() { f.freeze(h, false) }
	case 3:
		return "reload " + h.name, func() { h.signal(syscall.SIGHUP) }, nothing
	case 4, 5:
		begin, end := harm(h.store, m)
		return fmt.Sprintf("store for %s %s", h.name, modes[m]), begin, end
	case 6, 7:
		begin, end := harm(w.proxy, m)
		return fmt.Sprintf("%s %s", w.id, modes[m]), begin, end
	case 8:
		return "store away", func() { f.store.SetDown(true) }, func() { f.store.SetDown(false) }
	case 9:
		return "restart " + w.id, func() { w.stand.Restart(); f.register(w) }, nothing
	default:
		return "failing " + w.id, func() { w.stand.SetFailing(true) }, func() { w.stand.SetFailing(false) }
	}
}

// freeze stops and continues a host's process.
func (f *fleet) freeze(h *host, frozen bool) {
	h.harm()
	h.mu.Lock()
	h.frozen = frozen
	h.mu.Unlock()
	if frozen {
		h.signal(syscall.SIGSTOP)
	} else {
		h.signal(syscall.SIGCONT)
	}
}

// series is a number of faults that overlap.
const (
	seriesFaults = 10
	faultLonger  = 2500 * time.Millisecond
	faultShorter = 200 * time.Millisecond
)
