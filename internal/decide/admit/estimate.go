package admit

import "time"

const (
	// runTimeGain is the weight of a new run time in a moving average.
	runTimeGain = 0.05
	// maxTeams bounds the number of teams whose run times are estimated.
	maxTeams = 1024
	// minRatio and maxRatio bound the correction of declared run times.
	minRatio = 0.01
	maxRatio = 100
	// defaultInterval is the expected time between starts before any was
	// measured.
	defaultInterval = time.Millisecond
	// maxDecay is the fraction by which the longest run time decays with each
	// run.
	maxDecay = 0.0001
	// maxMargin is the factor applied to the longest run time as a safety margin.
	maxMargin = 1.25
	// intervalGain is the weight of a new interval between starts in the moving
	// average.
	intervalGain = 0.02
)

// runTimeEstimate holds the estimates of a team's run times.
type runTimeEstimate struct {
	// meanSeconds is the mean run time of requests without a declared one.
	meanSeconds float64
	// ratio is the mean ratio of observed to declared run time.
	ratio float64
	// maxSeconds is the longest recent run time of requests without a declared
	// one.
	maxSeconds float64
}

type runTimeEstimates struct {
	byTeam map[string]*runTimeEstimate
}

// expected returns the expected run time: the declared run time corrected by
// the observed ratio, or the mean of the team if none is declared.
func (e *runTimeEstimates) expected(it Item) time.Duration {
	known, ok := e.byTeam[it.Team]
	if !ok {
		return it.DeclaredRunTime
	}
	if it.DeclaredRunTime <= 0 {
		return time.Duration(known.meanSeconds * float64(time.Second))
	}
	if known.ratio == 0 {
		return it.DeclaredRunTime
	}
	return time.Duration(float64(it.DeclaredRunTime) * known.ratio)
}

// reservation returns the time to keep free for a run, where left is the time
// from arrival to the deadline. Without a declared run time it is the longest
// recent run time but at most two thirds of left, or the expected run time if
// that is longer. So a long run that was not declared still meets its deadline.
func (e *runTimeEstimates) reservation(it Item, left time.Duration) time.Duration {
	run := e.expected(it)
	known, ok := e.byTeam[it.Team]
	if !ok || it.DeclaredRunTime > 0 {
		return run
	}
	longest := time.Duration(known.maxSeconds * maxMargin * float64(time.Second))
	return max(run, min(longest, left*2/3))
}

func (e *runTimeEstimates) record(team string, declared, ran time.Duration) {
	known, ok := e.byTeam[team]
	if !ok && len(e.byTeam) >= maxTeams {
		return
	}
	if !ok {
		known = &runTimeEstimate{}
		e.byTeam[team] = known
	}
	if declared <= 0 {
		known.maxSeconds = max(ran.Seconds(), known.maxSeconds*(1-maxDecay))
		known.meanSeconds = movingAverage(known.meanSeconds, ran.Seconds(), runTimeGain)
		return
	}
	ratio := min(max(float64(ran)/float64(declared), minRatio), maxRatio)
	known.ratio = movingAverage(known.ratio, ratio, runTimeGain)
}

// movingAverage returns the exponential moving average after value. A mean of 0
// means that there is none yet; the result is then value.
func movingAverage(mean, value, gain float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + gain*(value-mean)
}

// startInterval measures the time between starts while requests wait.
type startInterval struct {
	lastStart   time.Time
	meanSeconds float64
}

// recordStart records a start. backlog is set if more requests wait.
func (p *startInterval) recordStart(now time.Time, backlog bool) {
	if !p.lastStart.IsZero() {
		p.meanSeconds = movingAverage(p.meanSeconds, now.Sub(p.lastStart).Seconds(), intervalGain)
	}
	p.lastStart = time.Time{}
	if backlog {
		p.lastStart = now
	}
}

// reset ends the current measurement, because no requests wait. The average is
// kept.
func (p *startInterval) reset() { p.lastStart = time.Time{} }

// expected returns the expected time between starts. The time since the last
// start counts as soon as it exceeds the average, so that a stall shows before
// the next start.
func (p *startInterval) expected(now time.Time) time.Duration {
	seconds := p.meanSeconds
	if !p.lastStart.IsZero() {
		stall := now.Sub(p.lastStart).Seconds()
		seconds = max(seconds, movingAverage(seconds, stall, intervalGain))
	}
	if seconds == 0 {
		return defaultInterval
	}
	return time.Duration(seconds * float64(time.Second))
}
