package dispatch

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// pathMetrics is the HTTP path of the metrics.
const pathMetrics = "/metrics"

type metrics struct {
	registry     *prometheus.Registry
	jobs         *prometheus.CounterVec
	answers      *prometheus.HistogramVec
	starts       *prometheus.CounterVec
	startSeconds prometheus.Histogram
	polls        prometheus.Counter
	runsLost     *prometheus.CounterVec
	verdicts     *prometheus.CounterVec
	// zoneEvacuated has a value for each zone that was ever evacuated.
	zoneEvacuated *prometheus.GaugeVec
	slowRuns      *prometheus.CounterVec
	nearDecisions *prometheus.CounterVec
	nearWaits     *prometheus.HistogramVec
}

// latencyBuckets are in seconds. They cover tasks of 50 ms up to the longest
// timeouts of callers.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .3, .5, .75, 1, 1.5, 2.5, 5}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		jobs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyhill_jobs_total", Help: "Jobs taken from callers.",
		}, []string{"route"}),
		answers: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "parsleyhill_answer_seconds", Help: "Time from a job's arrival to its answer.", Buckets: latencyBuckets,
		}, []string{"route", "outcome"}),
		starts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyhill_starts_total", Help: "Starts ordered, by the worker's verdict.",
		}, []string{"verdict"}),
		startSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "parsleyhill_start_seconds", Help: "Time a worker takes to answer a start.", Buckets: latencyBuckets,
		}),
		polls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "parsleyhill_looks_total", Help: "Looks at workers.",
		}),
		runsLost: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyhill_runs_lost_total", Help: "Runs lost together with their worker, by how the loss was found.",
		}, []string{"why"}),
		verdicts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyhill_task_verdicts_total", Help: "Changes of what happens to a task that lost workers, by the new verdict.",
		}, []string{"verdict"}),
		zoneEvacuated: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "parsleyhill_zone_evacuated", Help: "1 while this host starts no tasks on the zone's workers because it is evacuated, else 0.",
		}, []string{"zone"}),
		slowRuns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyhill_slow_runs_total", Help: "Decisions about runs that are far slower than expected.",
		}, []string{"decision"}),
		nearDecisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyhill_near_decisions_total", Help: "Decisions about tasks that name a rack.",
		}, []string{"by", "action", "reason"}),
		nearWaits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "parsleyhill_near_wait_seconds", Help: "Time that tasks which name a rack waited at the owner before they started or went elsewhere.", Buckets: latencyBuckets,
		}, []string{"action"}),
	}
	m.registry.MustRegister(m.jobs, m.answers, m.starts, m.startSeconds, m.polls, m.runsLost, m.verdicts, m.zoneEvacuated, m.slowRuns, m.nearDecisions, m.nearWaits)
	return m
}

func (m *metrics) answered(route, outcome string, responseTime time.Duration) {
	m.answers.WithLabelValues(route, outcome).Observe(responseTime.Seconds())
}

func (m *metrics) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+pathMetrics, promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return mux
}
