package admit

import "time"

const (
	// learnGain is the weight of a new observation in a moving average.
	learnGain = 0.05
	// maxTeams bounds the teams whose run times are learned.
	maxTeams = 1024
	// minRatio and maxRatio bound the correction of declared run times.
	minRatio = 0.01
	maxRatio = 100
	// defaultInterval is the time between two starts before one was seen.
	defaultInterval = time.Millisecond
	// highDecay is what the longest run time seen loses with each run.
	highDecay = 0.0001
	// highMargin is kept over the longest run time seen.
	highMargin = 1.25
	// paceGain is the weight of a new interval between starts.
	paceGain = 0.02
)

// estimate is what was learned of a team's run times.
type estimate struct {
	// mean is the mean run time of requests without a declared one, in seconds.
	mean float64
	// ratio is the mean of observed over declared run time.
	ratio float64
	// high is the longest recent run time without a declared one, in seconds.
	high float64
}

type estimates struct {
	byTeam map[string]*estimate
}

// run returns the expected run time: the declared time corrected by what was
// seen, or the mean of the team.
func (e *estimates) run(it Item) time.Duration {
	known, ok := e.byTeam[it.Team]
	if !ok {
		return it.DeclaredRunTime
	}
	if it.DeclaredRunTime <= 0 {
		return time.Duration(known.mean * float64(time.Second))
	}
	if known.ratio == 0 {
		return it.DeclaredRunTime
	}
	return time.Duration(float64(it.DeclaredRunTime) * known.ratio)
}

// reserve returns the time to keep for a run out of what is left at arrival: the
// longest recent one if it takes no more than most of it, so that a long run
// that nobody declared still meets its deadline.
func (e *estimates) reserve(it Item, left time.Duration) time.Duration {
	run := e.run(it)
	known, ok := e.byTeam[it.Team]
	if !ok || it.DeclaredRunTime > 0 {
		return run
	}
	high := time.Duration(known.high * highMargin * float64(time.Second))
	return max(run, min(high, left*2/3))
}

func (e *estimates) learn(team string, declared, ran time.Duration) {
	known, ok := e.byTeam[team]
	if !ok && len(e.byTeam) >= maxTeams {
		return
	}
	if !ok {
		known = &estimate{}
		e.byTeam[team] = known
	}
	if declared <= 0 {
		known.high = max(ran.Seconds(), known.high*(1-highDecay))
		known.mean = average(known.mean, ran.Seconds(), learnGain)
		return
	}
	ratio := min(max(float64(ran)/float64(declared), minRatio), maxRatio)
	known.ratio = average(known.ratio, ratio, learnGain)
}

// average returns the moving average after value; the first value counts whole.
func average(mean, value, gain float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + gain*(value-mean)
}

// pace measures the time between starts while requests wait.
type pace struct {
	last    time.Time
	seconds float64
}

// served notes a start; backlog says that more requests wait.
func (p *pace) served(now time.Time, backlog bool) {
	if !p.last.IsZero() {
		p.seconds = average(p.seconds, now.Sub(p.last).Seconds(), paceGain)
	}
	p.last = time.Time{}
	if backlog {
		p.last = now
	}
}

// idle ends the measured stretch.
func (p *pace) idle() { p.last = time.Time{} }

// interval returns the expected time between starts. A stall counts as soon
// as it is longer than the average.
func (p *pace) interval(now time.Time) time.Duration {
	seconds := p.seconds
	if !p.last.IsZero() {
		stall := now.Sub(p.last).Seconds()
		seconds = max(seconds, average(seconds, stall, paceGain))
	}
	if seconds == 0 {
		return defaultInterval
	}
	return time.Duration(seconds * float64(time.Second))
}
