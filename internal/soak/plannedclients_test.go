//go:build e2e

package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"
)

// client sends requests on a connection that it keeps until the host ends it.
type client struct {
	*plannedFleet
	number   int
	rng      *rand.Rand
	accepted chan<- string
	sent     int
	// stored is the client's last accepted stored job, and storedAt when it was accepted.
	stored   string
	storedAt time.Time
}

func (c *client) run(h *host) {
	for {
		if h != nil {
			conn, err := net.DialTimeout("tcp", h.ip+":8161", time.Second)
			if err == nil {
				c.use(h, conn)
				_ = conn.Close()
			} else {
				c.count("connections refused")
			}
		}
		select {
		case <-c.over:
			return
		case <-time.After(maxShortPause):
		}
		h = c.choose(c.rng)
	}
}

// answer is an answer of a host, or the end of the connection.
type answer struct {
	status int
	state  string
	closes bool
	err    error
	at     time.Time
}

// readAnswers reads answers until the connection ends.
func readAnswers(conn net.Conn, answers chan<- answer) {
	for r := bufio.NewReader(conn); ; {
		var a answer
		resp, err := http.ReadResponse(r, nil)
		if err == nil {
			var body []byte
			body, err = io.ReadAll(resp.Body)
			var reply struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal(body, &reply)
			a.status, a.state, a.closes = resp.StatusCode, reply.State, resp.Close
		}
		a.err, a.at = err, time.Now()
		answers <- a
		if err != nil || a.closes {
			return
		}
	}
}

// use sends requests on a connection until it ends.
func (c *client) use(h *host, conn net.Conn) {
	// Besides an answer there may be the end of the connection.
	answers := make(chan answer, 2)
	go readAnswers(conn, answers)
	for {
		pause := maxPause
		if c.rng.Float64() < shortPauseShare {
			pause = maxShortPause
		}
		select {
		case <-answers:
			return
		case <-c.over:
			return
		case <-time.After(time.Duration(c.rng.Int64N(int64(pause)))):
		}
		r := c.draw()
		if _, err := conn.Write(r.encode()); err != nil {
			c.count("requests not written")
			return
		}
		sent := time.Now()
		select {
		case <-c.over:
			return
		case <-time.After(r.wait + time.Second):
			c.ledger.locked(func() {
				c.ledger.fail("%s %s got neither an answer nor a refusal from %s within %v and a second; sent at %s",
					r.what, r.job, h.name, r.wait, sent.UTC().Format(clockFormat))
			})
			return
		case a := <-answers:
			if a.err != nil {
				c.mu.Lock()
				c.cuts = append(c.cuts, cut{r, h, sent, a.at, a.err})
				c.mu.Unlock()
				return
			}
			c.check(h, r, a, sent)
			if a.closes {
				return
			}
		}
	}
}

// check checks an answer.
func (c *client) check(h *host, r request, a answer, sent time.Time) {
	c.count(fmt.Sprintf("%s: %d", r.what, a.status))
	switch {
	case r.bestEffort && a.status == http.StatusOK && a.state == "completed":
		c.ledger.completed(r.job, r.steps, 1)
	case r.bestEffort && a.status == http.StatusServiceUnavailable:
		c.ledger.notRun(r.job, sent)
	case r.what == "GET" && a.status == http.StatusGone && sent.Sub(c.storedAt) > visibleTime:
		c.count("GET: 410 after the time to become visible")
		if !c.stoppedSince(h, sent.Add(-grace-stableTime)) {
			c.ledger.locked(func() {
				c.ledger.fail("stored job %s is not known to %s, %v after it was accepted", r.job, h.name, sent.Sub(c.storedAt))
			})
		}
	case r.what == "stored job" && a.status == http.StatusOK:
		c.accepted <- r.job
		c.stored, c.storedAt = r.job, a.at
	}
}

// stoppedSince reports whether a host has got SIGTERM since a time.
func (f *plannedFleet) stoppedSince(h *host, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.stops[h], since.Before)
}

// request is a request about a job.
type request struct {
	what, method, job string
	bestEffort        bool
	steps             int
	wait              time.Duration
	body              []byte
}

// draw draws the next request.
func (c *client) draw() request {
	c.sent++
	switch kind := c.rng.IntN(100); {
	case kind < 3:
		runTime := minLongTime + time.Duration(c.rng.Int64N(int64(maxLongTime-minLongTime)))
		wait := 2*runTime + time.Duration(c.rng.Int64N(int64(maxLongWait)))
		return c.bestEffort("long job", "7", runTime, 1+c.rng.IntN(maxLongSteps), wait)
	case kind < 6:
		return request{
			what: "stored job", method: http.MethodPost, job: jobID(storedPrefix, 0, c.number, c.sent),
			wait: callTimeout, body: encodeJob(false),
		}
	case kind < 65:
		return request{what: "GET", method: http.MethodGet, job: c.stored, wait: callTimeout}
	default:
		return c.bestEffort("short job", "1", taskTime, 1, callTimeout)
	}
}

// bestEffort returns a request with a job whose steps take a time in all.
func (c *client) bestEffort(what, prefix string, runTime time.Duration, steps int, wait time.Duration) request {
	runTime /= time.Duration(steps)
	var list []any
	for i := range steps {
		step := map[string]any{"count": 1, "cpu": 11000, "mem_mb": 64, "est_runtime_ms": runTime.Milliseconds()}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		list = append(list, step)
	}
	return request{
		what: what, method: http.MethodPost, job: jobID(prefix, runTime, c.number, c.sent), bestEffort: true, steps: steps, wait: wait,
		body: encode(map[string]any{"best_effort": true, "spec": "x", "steps": list}),
	}
}

// encode returns the bytes of the request.
func (r request) encode() []byte {
	return fmt.Appendf(nil, "%s /jobs/%s HTTP/1.1\r\nHost: jobs.example\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		r.method, r.job, r.wait.Milliseconds(), len(r.body), r.body)
}
