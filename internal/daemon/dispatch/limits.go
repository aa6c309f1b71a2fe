package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/parsleyhill/parsleyhill/internal/decide/hostlimits"
	"github.com/parsleyhill/parsleyhill/internal/httpserve"
)

// clientLimits holds the limits on what clients may use of this host.
type clientLimits struct {
	callers, peers, metrics, ready *httpserve.Conns
	bodies                         *httpserve.Bodies
	// unread applies to each port but that of the other hosts, whose frames are large.
	unread *httpserve.Unread
}

// newClientLimits returns limits that log and count when they act.
func newClientLimits(l hostlimits.Limits, logger *log.Logger, registry *prometheus.Registry) *clientLimits {
	open := prometheus.NewDesc("parsleyhill_connections", "Open connections, by port.", []string{"port"}, nil)
	closed := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "parsleyhill_connections_closed_total", Help: "Connections closed because their port had too many, by port.",
	}, []string{"port"})
	unanswered := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "parsleyhill_connections_unanswered_total",
		Help: "Connections that this host closed although a request, or a part of one, had arrived and was not answered, by port and by what the connection was used for.",
	}, []string{"port", "phase"})
	collector := connCollector{desc: open, conns: map[string]*httpserve.Conns{}}
	conns := func(port string, limit int) *httpserve.Conns {
		counter := closed.WithLabelValues(port)
		lines := newThrottle(func(n int) {
			logger.Warn("connections closed at their limit", "port", port, "limit", limit, "closed", n)
		})
		c := httpserve.NewConns(limit, func() {
			counter.Inc()
			lines.add(time.Now())
		})
		c.OnUnanswered = reportUnanswered(port, unanswered, logger)
		collector.conns[port] = c
		return c
	}
	limits := &clientLimits{
		callers: conns("callers", l.CallerConns), peers: conns("peers", l.PeerConns),
		metrics: conns("metrics", l.ProbeConns), ready: conns("ready", l.ProbeConns),
	}
	registry.MustRegister(closed, unanswered, collector)
	if l.Backlog > 0 {
		limits.unread = &httpserve.Unread{Bytes: hostlimits.UnreadBytes, Backlog: l.Backlog}
	}
	limits.bodies = newBodies(l, logger, registry)
	return limits
}

// reportUnanswered returns a function that counts and logs the connections of a port
// that are closed before their request is answered.
func reportUnanswered(port string, counter *prometheus.CounterVec, logger *log.Logger) func(httpserve.Unanswered) {
	var last atomic.Pointer[httpserve.Unanswered]
	lines := newThrottle(func(n int) {
		u := last.Load()
		logger.Warn("connections closed before an answer", "port", port, "closed", n, "last_client", u.Address,
			"last_phase", u.Phase, "last_phase_for", u.For, "last_bytes_read", u.Read, "last_unread", u.Unread)
	})
	return func(u httpserve.Unanswered) {
		counter.WithLabelValues(port, u.Phase.String()).Inc()
		last.Store(&u)
		lines.add(time.Now())
	}
}

// newBodies returns a limit on the memory for request bodies that logs and counts
// when it acts.
func newBodies(l hostlimits.Limits, logger *log.Logger, registry *prometheus.Registry) *httpserve.Bodies {
	refused := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "parsleyhill_bodies_refused_total", Help: "Request bodies that were refused, by reason.",
	}, []string{"reason"})
	lines := map[httpserve.Refusal]*throttle{}
	for _, reason := range httpserve.Refusals() {
		lines[reason] = newThrottle(func(n int) {
			logger.Warn("bodies refused", "why", string(reason), "refused", n, "memory", l.BodyBytes)
		})
	}
	bodies := httpserve.NewBodies(l.BodyBytes, httpserve.Pace{Grace: l.BodyGrace, BytesPerSecond: l.BodyBytesPerSecond}, func(reason httpserve.Refusal) {
		refused.WithLabelValues(string(reason)).Inc()
		lines[reason].add(time.Now())
	})
	registry.MustRegister(refused, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "parsleyhill_body_bytes", Help: "Memory of the request bodies that are being read or have not been answered.",
	}, func() float64 { return float64(bodies.Held()) }))
	return bodies
}

// connCollector reports the open connections of each port.
type connCollector struct {
	desc  *prometheus.Desc
	conns map[string]*httpserve.Conns
}

// Describe implements prometheus.Collector.
func (c connCollector) Describe(descs chan<- *prometheus.Desc) { descs <- c.desc }

// Collect implements prometheus.Collector.
func (c connCollector) Collect(values chan<- prometheus.Metric) {
	for port, conns := range c.conns {
		values <- prometheus.MustNewConstMetric(c.desc, prometheus.GaugeValue, float64(conns.Open()), port)
	}
}

// throttleInterval is the time between two log lines of a throttle.
const throttleInterval = time.Second

// throttle writes at most one log line in throttleInterval, with the number of
// events since the last one. Events after the last line stay uncounted until the
// next event. It is safe for concurrent use.
type throttle struct {
	write func(events int)

	mu     sync.Mutex
	events int
	last   time.Time
}

func newThrottle(write func(events int)) *throttle { return &throttle{write: write} }

func (t *throttle) add(now time.Time) {
	t.mu.Lock()
	t.events++
	events := t.events
	due := now.Sub(t.last) >= throttleInterval
	if due {
		t.events, t.last = 0, now
	}
	t.mu.Unlock()
	if due {
		t.write(events)
	}
}
