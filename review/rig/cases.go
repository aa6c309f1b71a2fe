package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func itoa(n int) string { return strconv.Itoa(n) }

// The attempts of the two queues on the sheets.
const maxAttempts, fewAttempts = 4, 2

// deployment starts a small deployment: hosts and minions in three zones.
func (r *rig) deployment(hosts, minions, attempts int) {
	r.config(attempts)
	for i := range minions {
		r.addMinion(fmt.Sprintf("minion-%02d", i+1), "z"+itoa(i%3+1), 32000)
	}
	for i := range hosts {
		r.addHost(fmt.Sprintf("front-%d", i+1), "z"+itoa(i%3+1))
	}
	r.startAll()
}

// playEnds: over 500 ends wait on one minion while the store is slow.
func playEnds(r *rig, trouble bool) {
	r.deployment(3, 12, maxAttempts)
	c := r.newClient()
	// A long task keeps the minion's lease alive, as on any minion in use.
	if !c.submit(0, jobID(1), job(30000, 1000, false, step(1, 1000, 30000))) {
		r.finish(2, "the long job was not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	// 1,800 tasks that end within 0.3 s, a few jobs at a time.
	for i := range 30 {
		ms := 2400 + 8*i
		go c.submit(0, jobID(10+i), job(ms, 50, false, step(60, 50, ms)))
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		r.logf("the store is slow, x 60")
		r.store.setSlow(60)
	}
	time.Sleep(4 * time.Second)
	r.store.setSlow(1)
	r.logf("the store is as usual")
	time.Sleep(8 * time.Second)
	if n, first := twice(r.seen()); n > 0 {
		r.finish(1, "TWICE is broken for %d tasks; the first: %s", n, first)
	}
	r.finish(0, "TWICE held for %d events", len(r.seen()))
}

// playBudget: the two machines of a zone are stopped and started in turn, while the
// other one stands still for a moment and a few jobs come whose tasks fail.
func playBudget(r *rig, trouble bool) {
	r.deployment(6, 24, fewAttempts)
	c := r.newClient()
	labelled := func(count, cpu, ms int) map[string]any {
		s := step(count, cpu, ms)
		s["required_label"] = labelOfFirstZone
		return s
	}
	// A long task on each minion of the first zone keeps its lease alive, as on any
	// minion in use.
	if !c.submit(1, jobID(1<<20), job(100000, 17000, false, labelled(8, 17000, 100000))) {
		r.finish(2, "the long job was not accepted")
	}
	stop := make(chan bool)
	var poison atomic.Bool
	var clients sync.WaitGroup
	go func() {
		n := 0
		for range time.Tick(7 * time.Millisecond) {
			select {
			case <-stop:
				return
			default:
			}
			n++
			// One job in twenty can never be done: its task fails.
			fails := n%20 == 0 && poison.Load()
			clients.Add(1)
			go func() {
				defer clients.Done()
				c.submit(n, jobID(n), job(200, 1000, fails, labelled(1, 1000, 200)))
			}()
		}
	}()
	for i := range 11 {
		// The two machines of the first zone.
		h, other := r.hosts[i%2*3], r.hosts[3-i%2*3]
		time.Sleep(500 * time.Millisecond)
		poison.Store(true)
		time.AfterFunc(3*time.Second, func() { poison.Store(false) })
		time.Sleep(time.Second)
		if trouble {
			other.signal(syscall.SIGSTOP)
			time.AfterFunc(400*time.Millisecond, func() { other.signal(syscall.SIGCONT) })
			time.Sleep(50 * time.Millisecond)
			h.stop()
			h.start()
		} else {
			time.Sleep(2 * time.Second)
		}
		time.Sleep(2 * time.Second)
	}
	close(stop)
	clients.Wait()
	time.Sleep(8 * time.Second)
	if n, first := overBudget(r.seen(), fewAttempts); n > 0 {
		r.finish(1, "BUDGET is broken by %d starts; the first: %s", n, first)
	}
	r.finish(0, "BUDGET held for %d events", len(r.seen()))
}

// playCancel: a process is killed and starts again, and clients cancel their jobs at
// it as soon as it answers.
func playCancel(r *rig, trouble bool) {
	const cancelMs, cancels = 3000, 40
	r.deployment(6, 24, maxAttempts)
	c := r.newClient()
	// Some seconds of small jobs: their states are kept for status_s.
	var clients sync.WaitGroup
	for n := range 3600 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c.submit(n, jobID(10000+n), job(20, 1000, false, step(1, 1000, 20)))
		}()
		time.Sleep(7 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	// The jobs to cancel: eight steps of 1 s, one after the other. They are handed in
	// at other machines than the one that is killed.
	steps := []map[string]any{step(1, 1000, 1000)}
	for i := range 7 {
		steps = append(steps, step(1, 1000, 1000, i))
	}
	for n := range cancels {
		if !c.submit(1+n%5, jobID(n), job(1000, 1000, false, steps...)) {
			r.finish(2, "a job was not accepted")
		}
	}
	time.Sleep(500 * time.Millisecond)
	h := r.hosts[0]
	if trouble {
		h.kill()
		go func() {
			time.Sleep(500 * time.Millisecond)
			h.start()
		}()
	}
	// Each client asks again, some tenths of a second apart, until it has an answer.
	acked := make([]time.Time, cancels)
	for n := range cancels {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(n) * 7 * time.Millisecond)
			for range 40 {
				if a := c.call(h, "DELETE", jobID(n), nil); a.err == nil && (a.status == http.StatusOK || a.status == http.StatusGone) {
					acked[n] = a.at
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	clients.Wait()
	time.Sleep(12 * time.Second)
	late, first := map[string]bool{}, ""
	byID := map[string]time.Time{}
	for n := range cancels {
		byID[jobID(n)] = acked[n]
	}
	for _, e := range r.seen() {
		at := byID[jobOf(e.task)]
		if e.kind == "start" && !at.IsZero() && e.at.Sub(at) > cancelMs*time.Millisecond {
			if late[jobOf(e.task)] = true; first == "" {
				first = fmt.Sprintf("%s starts on %s %v after the cancelling of its job was acknowledged", e.task, e.minion, e.at.Sub(at).Round(time.Millisecond))
			}
		}
	}
	if len(late) > 0 {
		r.finish(1, "UNASKED is broken for %d of %d cancelled jobs; the first: %s", len(late), cancels, first)
	}
	r.finish(0, "UNASKED held for %d cancelled jobs", cancels)
}
