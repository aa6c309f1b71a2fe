package placement

import "time"

const (
	// learnAfter is how many outcomes make a learned size count.
	learnAfter = 8
	// sizeDecay lets a learned peak shrink when newer tasks use less.
	sizeDecay = 0.98
	// maxClasses bounds the classes remembered.
	maxClasses = 4096
)

// Class names tasks that are taken to be alike: the same customer and team,
// declared the same.
type Class struct {
	Customer string
	Team     string
	Declared Size
	RunMs    int64
}

// ClassStats is what was observed of a class.
type ClassStats struct {
	seen   int
	cores  float64
	memory float64
	run    float64
	rate   float64
}

// Learner remembers what classes of tasks really use.
type Learner struct {
	classes map[Class]*ClassStats
}

// NewLearner returns a learner that knows nothing.
func NewLearner() *Learner { return &Learner{classes: map[Class]*ClassStats{}} }

// Stats returns the statistics of a class.
func (l *Learner) Stats(c Class) *ClassStats {
	s, ok := l.classes[c]
	if ok {
		return s
	}
	if len(l.classes) >= maxClasses {
		for old := range l.classes {
			delete(l.classes, old)
			break
		}
	}
	s = &ClassStats{rate: 1}
	l.classes[c] = s
	return s
}

// Observe takes the peak use and the run time of one ended task. A zero size
// means that the worker gave none.
func (s *ClassStats) Observe(peak Size, run time.Duration) {
	if peak == (Size{}) {
		return
	}
	s.seen++
	s.cores = max(float64(peak.Cores), s.cores*sizeDecay)
	s.memory = max(float64(peak.MemoryMB), s.memory*sizeDecay)
	s.run += rateGain * (float64(run) - s.run)
}

// Size returns the size to place a task with: the declared one until enough
// was observed, then the decayed peak.
func (s *ClassStats) Size(declared Size) Size {
	if s.seen < learnAfter {
		return declared
	}
	return Size{
		Cores:        ceil(s.cores),
		MemoryMB:     ceil(s.memory),
		Accelerators: declared.Accelerators,
	}
}

func ceil(v float64) int {
	n := int(v)
	if float64(n) < v {
		n++
	}
	return n
}
