// Package spread decides, for the jobs whose callers wait at this host, where
// their tasks are offered and when a job is given up. It is pure: events and
// the time go in, actions come out.
package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Config holds the identity and the times of a host.
type Config struct {
	Self string
	Zone string
	// MaxLease bounds how long a run lives that nobody renews.
	MaxLease time.Duration
}

const (
	// hop is the expected time from an offer to its start and from its end to
	// the answer, between zones.
	hop = 5 * time.Millisecond
	// recallShare is the part of its objective after which a job that has not
	// begun and will be late is refused: until then the caller has lost little.
	recallShare = 0.25
	// patienceShare is the part of the caller's patience after which a job that
	// has not begun is refused, so that the caller can still go elsewhere.
	patienceShare = 0.45
	// recallPause is the pause between two recalls of a job: a round trip
	// between zones, and a start.
	recallPause = 30 * time.Millisecond
	// admitFactor is how many times its objective a job may be expected to take
	// and still be taken, and lateFactor the same for the second look: a late
	// answer is worth more to its caller than none, as long as it delays no other.
	admitFactor = 1.5
	lateFactor  = 1.0
	// orphanMargin is added to a lease for the clocks of host and worker.
	orphanMargin = 60 * time.Millisecond
	// defaultPatience bounds a job whose caller and queue name no limit.
	defaultPatience = 30 * time.Second
)

// Action is something for the shell to do.
type Action interface{ action() }

// Offer asks a host to run tasks of one step.
type Offer struct {
	Host  string
	Tasks []offer.Task
}

// Withdraw tells a host that a job's tasks are not wanted any more.
type Withdraw struct {
	Host string
	Job  string
}

// Recall asks a host to give back the tasks of a job that wait there.
type Recall struct {
	Host string
	Job  string
}

// Begun tells a host that a task of a job has started elsewhere.
type JobStarted struct {
	Host string
	Job  string
}

// Claim tells a worker's new owner that a run found there is wanted.
type Claim struct {
	Host  string
	Claim offer.Claim
}

// Answer ends a job.
type Answer struct {
	Job string
	// Stored is set if no caller waits for the answer.
	Stored bool
	// Err is nil if all tasks are done.
	Err *errkind.Error
	// Failed is set if the job failed by its own fault.
	Failed bool
	// RetryAfter is when the caller may come back; zero says nothing.
	RetryAfter time.Duration
	Summary    Summary
}

// Facts are the inputs of an answer, for the log.
type Summary struct {
	Route        string
	Tasks        int
	Runs         int
	Elapsed      time.Duration
	Objective    time.Duration
	ExpectedWait time.Duration
	Why          string
}

func (Offer) action()      {}
func (Withdraw) action()   {}
func (Recall) action()     {}
func (JobStarted) action() {}
func (Claim) action()      {}
func (Answer) action()     {}

// Host is what is known of an owner of workers.
type host struct {
	name   string
	zone   string
	report offer.CapacityReport
	heard  time.Time
	known  bool
	// queued is work offered since the last report, by priority.
	queued map[int]int64
}

// Spread holds the jobs whose callers wait here. It is not safe for
// concurrent use.
type Coordinator struct {
	cfg     Config
	hosts   map[string]*host
	order   []*host
	jobs    map[string]*job
	workers map[string]fleet.Worker
	actions []Action
	// batch collects the tasks per host of the offers being made.
	batch map[string][]offer.Task
	// stuck is set while a task waits for a host to be offered to.
	stuck bool
	seq   int64
	// logRead is when the last reading of the log was sent.
	logRead time.Time
}

// New returns a spread without jobs.
func New(cfg Config) *Coordinator {
	return &Coordinator{
		cfg: cfg, hosts: map[string]*host{}, jobs: map[string]*job{},
		workers: map[string]fleet.Worker{}, batch: map[string][]offer.Task{},
	}
}

// Take returns the actions since the last call.
func (s *Coordinator) PopActions() []Action {
	for _, h := range s.order {
		s.flush(h.name)
	}
	actions := s.actions
	s.actions = nil
	return actions
}

// flush emits the offers that are being made to a host.
func (s *Coordinator) flush(host string) {
	if tasks := s.batch[host]; len(tasks) > 0 {
		s.emit(Offer{Host: host, Tasks: tasks})
		delete(s.batch, host)
	}
}

func (s *Coordinator) emit(a Action) { s.actions = append(s.actions, a) }

// Len returns the number of jobs whose callers wait.
func (s *Coordinator) Len() int { return len(s.jobs) }

// Worker takes a worker's entry.
func (s *Coordinator) UpdateWorker(w fleet.Worker) { s.workers[w.ID] = w }

// WorkerGone takes the removal of a worker's entry.
func (s *Coordinator) RemoveWorker(id string) { delete(s.workers, id) }

// Reported takes what a host says of its room.
func (s *Coordinator) UpdateHost(now time.Time, name, zone string, r offer.CapacityReport) {
	h, ok := s.hosts[name]
	if !ok {
		h = &host{name: name, zone: zone}
		s.hosts[name] = h
		s.order = append(s.order, h)
		slices.SortFunc(s.order, func(a, b *host) int { return cmp.Compare(a.name, b.name) })
	}
	h.report, h.heard, h.known = r, now, true
	h.queued = nil
	if s.stuck {
		s.offerIdle(now)
	}
}

// HostLost takes the loss of contact with a host. What it was asked to run is
// orphaned: a run may live until its lease ends.
func (s *Coordinator) HostLost(now time.Time, name string) {
	if h, ok := s.hosts[name]; ok {
		h.known = false
	}
	s.unsend(name)
	over := now.Add(s.leaseOver())
	for _, j := range s.sorted() {
		for _, t := range j.tasks {
			if t.host == name && (t.state == taskOffered || t.state == taskStarted) {
				t.state, t.overAt, t.host = taskOrphaned, over, ""
			}
		}
		s.review(now, j)
	}
}

// unsend takes back the offers to a host that have not left. They must not
// leave by a newer stream: their tasks would count as lost and run all the same.
func (s *Coordinator) unsend(name string) {
	for _, offered := range s.batch[name] {
		if _, t := s.find(offered.Name); t != nil && t.state == taskOffered && t.host == name {
			t.state, t.host = taskIdle, ""
			s.stuck = true
		}
	}
	delete(s.batch, name)
}

func (s *Coordinator) leaseOver() time.Duration {
	return fleet.WithMaxClockDrift(s.cfg.MaxLease) + orphanMargin
}

// sorted lists the jobs by arrival, for repeatable decisions.
func (s *Coordinator) sorted() []*job {
	list := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.seq, b.seq) })
	return list
}

// HasCapacity reports whether some known host has workers.
func (s *Coordinator) HasCapacity() bool {
	for _, h := range s.order {
		if h.known && h.report.Capacity > 0 {
			return true
		}
	}
	return false
}

// Waiting counts the jobs of a route of which no task has started.
func (s *Coordinator) WaitingJobs(route string) int {
	n := 0
	for _, j := range s.jobs {
		if j.route.Name == route && !j.begun {
			n++
		}
	}
	return n
}
