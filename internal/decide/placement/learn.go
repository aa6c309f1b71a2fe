package placement

import "time"

const (
	// minObservations is the number of observed tasks from which the learned size
	// replaces the declared one.
	minObservations = 8
	// sizeDecay is the factor by which a learned peak shrinks with each observed task
	// that uses less.
	sizeDecay = 0.98
	// maxClasses bounds the number of classes remembered.
	maxClasses = 4096
)

// Class identifies tasks that are presumed to use the same resources: those of one
// customer and team with the same declared size and run time.
type Class struct {
	Customer string
	Team     string
	Declared Size
	RunMs    int64
}

// ClassStats holds what was observed of the tasks of a class.
type ClassStats struct {
	observations int
	peakCores    float64
	peakMemoryMB float64
	runTime      float64
	successRate  float64
}

// Learner holds the observed resource use of classes of tasks.
type Learner struct {
	classes map[Class]*ClassStats
}

// NewLearner returns a learner without observations.
func NewLearner() *Learner { return &Learner{classes: map[Class]*ClassStats{}} }

// Stats returns the statistics of a class, and creates them if needed. When
// maxClasses are held, it evicts an arbitrary one.
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
	s = &ClassStats{successRate: 1}
	l.classes[c] = s
	return s
}

// Observe records the peak use and the run time of an ended task. A zero peak means
// that the worker reported none, and is ignored.
func (s *ClassStats) Observe(peak Size, run time.Duration) {
	if peak == (Size{}) {
		return
	}
	s.observations++
	s.peakCores = max(float64(peak.Cores), s.peakCores*sizeDecay)
	s.peakMemoryMB = max(float64(peak.MemoryMB), s.peakMemoryMB*sizeDecay)
	s.runTime += averageWeight * (float64(run) - s.runTime)
}

// Size returns the size to use for placing a task: the declared size until
// minObservations tasks were observed, then the decayed peak use. Accelerators are
// always as declared.
func (s *ClassStats) Size(declared Size) Size {
	if s.observations < minObservations {
		return declared
	}
	return Size{
		Cores:        ceil(s.peakCores),
		MemoryMB:     ceil(s.peakMemoryMB),
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
