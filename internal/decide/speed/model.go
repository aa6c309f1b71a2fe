// Package speed learns how fast workers run tasks, and decides by it on which
// worker a task is expected to end in time. It does no I/O: observations and the
// time go in, estimates and choices come out.
package speed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	// window is the number of a worker's last runs behind its value. With estimates
	// that are off by 40%, the mean of the middle half of so many has a deviation of
	// about 5%.
	window = 32
	// minRuns is how many runs a worker needs before its value deviates from that of
	// its kind: fewer cannot outvote one task that takes seven times as long.
	minRuns = 3
	// kindRuns is the weight of the kind's value, in runs of the worker. It is small
	// because workers of one kind may differ.
	kindRuns = 2.0
	// halfLife is the age at which a value counts half: a worker that changes its
	// speed without running anything is tried again within a minute.
	halfLife = 30 * time.Second
	// refreshInterval is the time between two derivations of all values. Speeds
	// change rarely, and a derivation visits every worker.
	refreshInterval = 500 * time.Millisecond
	// minKnown is how many workers of a service must have values before their
	// spread counts.
	minKnown = 4
	// edgeShare is the share of workers that the spread leaves out at either end,
	// so that a few degraded workers do not make it.
	edgeShare = 1.0 / 8
	// onFactor and offFactor are the multiples of the stretch from which on the
	// spread counts as deciding, and below which it no longer does. Learning widens
	// the spread of equal workers by about a tenth.
	onFactor, offFactor = 1.15, 1.05
	// reportStep is the relative change, as a logarithm, from which on another
	// value is reported, so that reports do not change with every run.
	reportStep = 0.1
	// forgetAfter is how long a worker without a registration is remembered.
	forgetAfter = time.Minute
)

// Worker is what is known about the speed of one worker.
type Worker struct {
	info fleet.Worker
	// registered is set while the worker's registration is known.
	registered bool
	kind       *kind
	// logs holds the logarithms of run time divided by estimate of the last runs.
	logs   [window]float64
	runs   int
	middle float64
	ranAt  time.Time
	// received is the logarithm that another host reported, over receivedRuns runs.
	received     float64
	receivedRuns int
	receivedAt   time.Time

	value    float64
	known    bool
	reported float64
}

// kind is the mean over the workers of one capacity with the same labels.
type kind struct{ sum, weight float64 }

// Service is the spread of the speeds of a service's workers.
type Service struct {
	Name string
	// Active is set while the choice of the worker alone decides whether a job is on
	// time.
	Active bool
	// Spread is the relative run time of the slow workers divided by that of the
	// fast ones, Middle the geometric middle of both; Fast and Slow are the two.
	Spread, Middle, Fast, Slow float64
	// Stretch is the smallest stretch of the service's routes with jobs, or zero.
	Stretch float64
	// Known is the number of workers with a value of their own.
	Known int

	values []float64
}

// Model holds the speeds of all known workers. The zero value, and nil, learn
// nothing and are never active. A Model is not safe for concurrent use.
type Model struct {
	enabled  bool
	workers  map[string]*Worker
	services map[string]*Service
	// labelZone holds the zone of each label, or manyZones. Racks lie in one zone,
	// so that only labels of several zones describe a kind.
	labelZone   map[string]string
	kinds       map[string]*kind
	kindsDirty  bool
	refreshedAt time.Time
}

// manyZones stands for a label that workers of several zones carry.
const manyZones = "*"

// New returns an empty model that learns and may become active.
func New() *Model {
	return &Model{
		enabled: true, workers: map[string]*Worker{}, services: map[string]*Service{},
		labelZone: map[string]string{}, kinds: map[string]*kind{},
	}
}

// Enabled reports whether the model learns.
func (m *Model) Enabled() bool { return m != nil && m.enabled }

// Register records a worker's registration.
func (m *Model) Register(now time.Time, info fleet.Worker) {
	if !m.Enabled() {
		return
	}
	w := m.worker(now, info.ID)
	if w.registered && w.info.Zone == info.Zone && w.info.Service == info.Service &&
		w.info.Capacity == info.Capacity && slices.Equal(w.info.Labels, info.Labels) {
		return
	}
	w.info, w.registered, m.kindsDirty = info, true, true
	for _, label := range info.Labels {
		if zone, ok := m.labelZone[label]; !ok {
			m.labelZone[label] = info.Zone
		} else if zone != info.Zone {
			m.labelZone[label] = manyZones
		}
	}
}

// Remove removes a worker whose registration was deleted.
func (m *Model) Remove(id string) {
	if m.Enabled() {
		delete(m.workers, id)
	}
}

func (m *Model) worker(now time.Time, id string) *Worker {
	w, ok := m.workers[id]
	if !ok {
		w = &Worker{receivedAt: now}
		w.info.ID = id
		m.workers[id], m.kindsDirty = w, true
	}
	return w
}

// Observe records a completed run whose worker, not its task, determined its time.
func (m *Model) Observe(now time.Time, id string, took, estimate time.Duration) {
	if !m.Enabled() || took <= 0 || estimate <= 0 {
		return
	}
	w := m.worker(now, id)
	w.logs[w.runs%window] = math.Log(float64(took) / float64(estimate))
	w.runs, w.ranAt = w.runs+1, now
	w.middle = middleMean(w.logs[:min(w.runs, window)])
}

// middleMean returns the mean of the middle half of the values. A rare extreme
// value has no more effect than any other value beyond the middle half.
func middleMean(values []float64) float64 {
	var buffer [window]float64
	sorted := buffer[:copy(buffer[:], values)]
	slices.Sort(sorted)
	cut := len(sorted) / 4
	sorted = sorted[cut : len(sorted)-cut]
	sum := 0.0
	for _, v := range sorted {
		sum += v
	}
	return sum / float64(len(sorted))
}

// Receive records another host's report about a worker. The host's own runs on the
// worker count besides it, and outweigh it as it ages.
func (m *Model) Receive(now time.Time, id, service string, relative float64, runs int) {
	if !m.Enabled() || !(relative > 0) || math.IsInf(relative, 0) || runs <= 0 {
		return
	}
	w := m.worker(now, id)
	if w.info.Service == "" {
		w.info.Service = service
	}
	w.received, w.receivedRuns, w.receivedAt = math.Log(relative), min(runs, window), now
}

// ObserveStretch records that a job of a route with the stretch has arrived.
func (m *Model) ObserveStretch(service string, stretch float64) {
	if !m.Enabled() || stretch < 1 {
		return
	}
	s := m.service(service)
	if s.Stretch == 0 || stretch < s.Stretch {
		s.Stretch = stretch
	}
}

func (m *Model) service(name string) *Service {
	s, ok := m.services[name]
	if !ok {
		s = &Service{Name: name}
		m.services[name] = s
	}
	return s
}

// Active returns the spread of a service's workers, or nil if the choice of the
// worker alone does not decide whether its jobs are on time.
func (m *Model) Active(service string) *Service {
	if m == nil || len(m.services) == 0 {
		return nil
	}
	if s := m.services[service]; s != nil && s.Active {
		return s
	}
	return nil
}

// Relative returns the expected run time on a worker divided by the estimate: one
// if nothing is known.
func (m *Model) Relative(id string) float64 {
	if m == nil || m.workers[id] == nil || m.workers[id].value == 0 {
		return 1
	}
	return m.workers[id].value
}

// Reported returns the value to send to other hosts and the number of runs behind
// it, or zeros if the worker has no value of its own. Both change rarely.
func (m *Model) Reported(id string) (relative float64, runs int) {
	if m == nil || m.workers[id] == nil || !m.workers[id].known {
		return 0, 0
	}
	w := m.workers[id]
	runs = min(max(w.runs, w.receivedRuns), window)
	for _, step := range []int{window, window / 4} {
		if runs >= step {
			return w.reported, step
		}
	}
	return w.reported, minRuns
}

// Refresh derives the values of all workers, unless it did so less than
// refreshInterval ago. It returns the services whose workers have values, each
// time it derives them.
func (m *Model) Refresh(now time.Time) []*Service {
	if !m.Enabled() || now.Sub(m.refreshedAt) < refreshInterval {
		return nil
	}
	m.refreshedAt = now
	if m.kindsDirty {
		m.updateKinds()
	}
	for _, k := range m.kinds {
		*k = kind{}
	}
	ids := slices.Sorted(maps.Keys(m.workers))
	var all kind
	for _, id := range ids {
		w := m.workers[id]
		if !w.registered && now.Sub(w.receivedAt) > forgetAfter && now.Sub(w.ranAt) > forgetAfter {
			delete(m.workers, id)
			continue
		}
		value, weight := w.evidence(now)
		w.kind.sum, w.kind.weight = w.kind.sum+weight*value, w.kind.weight+weight
		all.sum, all.weight = all.sum+weight*value, all.weight+weight
	}
	if all.weight == 0 {
		return nil
	}
	mean := all.sum / all.weight
	for _, s := range m.services {
		s.values = s.values[:0]
	}
	for _, id := range ids {
		if w := m.workers[id]; w != nil {
			w.update(now, mean)
			if s := m.services[w.info.Service]; s != nil && w.known {
				s.values = append(s.values, w.value)
			}
		}
	}
	var updated []*Service
	for _, name := range slices.Sorted(maps.Keys(m.services)) {
		if s := m.services[name]; s.update() {
			updated = append(updated, s)
		}
	}
	return updated
}

// evidence returns the logarithm of the worker's relative run time by its own runs
// and by the last report, and its weight in runs of present age.
func (w *Worker) evidence(now time.Time) (value, weight float64) {
	own := float64(min(w.runs, window)) * decay(now.Sub(w.ranAt))
	received := float64(w.receivedRuns) * decay(now.Sub(w.receivedAt)) * float64(window-min(w.runs, window)) / window
	if own+received == 0 {
		return 0, 0
	}
	return (own*w.middle + received*w.received) / (own + received), own + received
}

// decay returns the share of its weight that a value of an age has left.
func decay(age time.Duration) float64 { return math.Exp2(-float64(age) / float64(halfLife)) }

// update derives the worker's value: its own as far as its weight allows, then that
// of its kind, then the mean of all.
func (w *Worker) update(now time.Time, mean float64) {
	kindMean := (w.kind.sum + kindRuns*mean) / (w.kind.weight + kindRuns)
	value, weight := w.evidence(now)
	w.known = weight > 0 && max(w.runs, w.receivedRuns) >= minRuns
	if !w.known {
		value, weight = kindMean, 0
	}
	log := (weight*value + kindRuns*kindMean) / (weight + kindRuns)
	w.value = math.Exp(log)
	if w.reported == 0 || math.Abs(log-math.Log(w.reported)) >= reportStep {
		w.reported = math.Exp(math.Round(log*2/reportStep) * reportStep / 2)
	}
}

// update derives the spread. It reports whether enough workers are known.
func (s *Service) update() bool {
	s.Known = len(s.values)
	if s.Known < minKnown {
		s.Active = false
		return false
	}
	slices.Sort(s.values)
	edge := int(edgeShare * float64(s.Known))
	s.Fast, s.Slow = s.values[edge], s.values[s.Known-1-edge]
	s.Spread, s.Middle = s.Slow/s.Fast, math.Sqrt(s.Fast*s.Slow)
	factor := onFactor
	if s.Active {
		factor = offFactor
	}
	s.Active = s.Stretch > 0 && s.Spread > factor*s.Stretch
	return true
}

// updateKinds assigns each worker its kind: its service, its capacity, and its
// labels that are not racks.
func (m *Model) updateKinds() {
	m.kindsDirty = false
	clear(m.kinds)
	for _, w := range m.workers {
		key := kindKey(w.info, m.labelZone)
		k, ok := m.kinds[key]
		if !ok {
			k = &kind{}
			m.kinds[key] = k
		}
		w.kind = k
	}
}

func kindKey(info fleet.Worker, labelZone map[string]string) string {
	labels := slices.DeleteFunc(slices.Clone(info.Labels), func(l string) bool { return labelZone[l] != manyZones })
	slices.SortFunc(labels, cmp.Compare[string])
	var key strings.Builder
	key.WriteString(info.Service)
	for _, n := range []int{info.Capacity.MilliCPU, info.Capacity.MemoryMB, info.Capacity.GPUs} {
		key.WriteByte('/')
		key.WriteString(strconv.Itoa(n))
	}
	for _, label := range labels {
		key.WriteByte('/')
		key.WriteString(label)
	}
	return key.String()
}
