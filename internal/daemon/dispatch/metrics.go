package dispatch

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/parsleyhill/parsleyhill/internal/decide/flow"
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
	pollsLost    prometheus.Counter
	runsLost     *prometheus.CounterVec
	// interruptions holds the times for which tasks of stored jobs had nothing running.
	interruptions *prometheus.HistogramVec
	verdicts      *prometheus.CounterVec
	// zoneEvacuated has a value for each zone that was ever evacuated.
	zoneEvacuated *prometheus.GaugeVec
	slowRuns      *prometheus.CounterVec
	speedSpread   *prometheus.GaugeVec
	speedActive   *prometheus.GaugeVec
	placements    *prometheus.CounterVec
	fastWaits     prometheus.Counter
	// saturated, delay and startLimit show the state of the limiter.
	saturated, delay, startLimit prometheus.Gauge
	sharedOrder                  *prometheus.GaugeVec
	returnedLate                 *prometheus.CounterVec
	nearDecisions                *prometheus.CounterVec
	nearWaits                    *prometheus.HistogramVec
	refusals, heldJobs           *prometheus.CounterVec
	startSteps                   *prometheus.GaugeVec
	processor, loopBusy          prometheus.Counter
	// runsStopped counts the orders to stop a run, standstills holds the times for which
	// the event loop did nothing.
	runsStopped *prometheus.CounterVec
	standstills prometheus.Histogram
	// jobsSetAside counts the stored jobs that this host drives and no host can run.
	jobsSetAside *prometheus.CounterVec
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
		pollsLost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "parsleyhill_polls_lost_total", Help: "Polls that were not answered although a run had ended.",
		}),
		interruptions: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "parsleyhill_task_interruption_seconds", Help: "Time from the end of a run of a stored job's task that was not done to the next start, by how the run ended.",
			Buckets: []float64{.01, .05, .2, .5, 1, 2, 3, 5, 10},
		}, []string{"why"}),
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
		speedSpread: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "parsleyhill_worker_speed_spread", Help: "Relative run time of a service's slow workers divided by that of its fast ones.",
		}, []string{"service"}),
		speedActive: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "parsleyhill_worker_speed_active", Help: "1 while tasks of the service are placed by the speeds of workers, else 0.",
		}, []string{"service"}),
		placements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyhill_placements_total", Help: "Starts ordered, by the part that speeds had in the choice of the worker.",
		}, []string{"reason"}),
		fastWaits: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "parsleyhill_fast_worker_waits_total", Help: "Tasks that waited for a fast worker although another could have started them.",
		}),
		saturated: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "parsleyhill_saturated", Help: "1 while the host's link or processor delays its orders beyond the bound, else 0.",
		}),
		delay: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "parsleyhill_saturation_delay_seconds", Help: "Measured delay during saturation, else 0.",
		}),
		startLimit: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "parsleyhill_start_limit", Help: "Unanswered starts allowed during saturation; 0 means no limit.",
		}),
		sharedOrder: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "parsleyhill_shared_order_active", Help: "1 while waiting tasks of the service are ordered by the shares of their routes, else 0.",
		}, []string{"service"}),
		returnedLate: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyhill_tasks_returned_late_total", Help: "Tasks returned to the hosts of their jobs because they were late while others could be on time.",
		}, []string{"service", "route"}),
		nearDecisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyhill_near_decisions_total", Help: "Decisions about tasks that name a rack.",
		}, []string{"by", "action", "reason"}),
		nearWaits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "parsleyhill_near_wait_seconds", Help: "Time that tasks which name a rack waited at the owner before they started or went elsewhere.", Buckets: latencyBuckets,
		}, []string{"action"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyhill_refusals_total", Help: "Jobs refused as not run, by reason.",
		}, []string{"route", "reason"}),
		heldJobs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "parsleyhill_held_jobs_total", Help: "Jobs that arrived during the start of this host, by what happened to them.",
		}, []string{"event"}),
		startSteps: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "parsleyhill_start_step_seconds", Help: "Age of the process at the end of each step of its start.",
		}, []string{"step"}),
		processor: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "parsleyhill_processor_seconds_total", Help: "Processor time that this process has used.",
		}),
		loopBusy: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "parsleyhill_loop_seconds_total", Help: "Time that the event loop was busy.",
		}),
	}
	m.runsStopped = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "parsleyhill_run_stops_total", Help: "Orders to stop a run, repeated ones included, by the reason of the first.",
	}, []string{"why"})
	m.standstills = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "parsleyhill_standstill_seconds", Help: "Times for which the event loop did nothing because the process did not run.",
		Buckets: []float64{.2, .3, .5, .75, 1, 1.5, 2, 3, 5},
	})
	m.jobsSetAside = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "parsleyhill_jobs_set_aside_total", Help: "Stored jobs closed as failed because no host can run them, by cause.",
	}, []string{"cause"})
	m.registry.MustRegister(m.jobsSetAside, m.runsStopped, m.standstills, m.jobs, m.answers, m.starts, m.startSeconds, m.polls, m.pollsLost, m.runsLost, m.interruptions, m.verdicts, m.zoneEvacuated, m.slowRuns,
		m.speedSpread, m.speedActive, m.placements, m.fastWaits, m.saturated, m.delay, m.startLimit, m.nearDecisions, m.nearWaits,
		m.refusals, m.heldJobs, m.startSteps, m.sharedOrder, m.returnedLate, m.processor, m.loopBusy)
	return m
}

func (m *metrics) answered(route, outcome string, responseTime time.Duration) {
	m.answers.WithLabelValues(route, outcome).Observe(responseTime.Seconds())
}

// flow updates the state of the limiter.
func (m *metrics) flow(l *flow.Limiter) {
	saturated := 0.0
	if l.Saturated() {
		saturated = 1
	}
	m.saturated.Set(saturated)
	m.delay.Set(l.Delay().Seconds())
	m.startLimit.Set(float64(l.Limit()))
}

func (m *metrics) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+pathMetrics, promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return mux
}
