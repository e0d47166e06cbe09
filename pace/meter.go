// Package pace measures how fast the instances of a service work, relative to each other. It does no I/O and reads
// no clock.
package pace

import (
	"math"
	"time"
)

// Meter measures the pace of one instance from its runs. The zero value is a meter that has seen none.
//
// Each run counts by the logarithm of its time relative to the usual one: run times differ by factors, and a few runs
// take ten times as long as most.
type Meter struct {
	// long is the estimate in force, and short the one by which a turn of pace shows.
	long, short average
	// spread is the usual square of their difference.
	spread average
	runs   int
	// deviatesSince is since when short differs from long by more than turnDeviation; 0 if it does not.
	deviatesSince time.Duration
	updatedAt     time.Duration
}

const (
	// MinRuns is the number of runs from which the pace is known.
	MinRuns = 12
	// MinPace and MaxPace bound a pace.
	MinPace = 0.05
	MaxPace = 20.0

	longTimeConstant  = 8 * time.Second
	shortTimeConstant = 400 * time.Millisecond
	// turnDeviation is the logarithm of the factor by which the short average has to differ from the long one for
	// turnDuration to replace it. Instances stall for some hundred milliseconds at a time, which is no turn.
	turnDeviation = 0.4
	// turnSpread is by how many times their usual difference the averages have to differ at a turn. Some instances stall
	// so often that a few stalls in a row are no turn either.
	turnSpread         = 2.5
	spreadTimeConstant = 20 * time.Second
	// maxSpread bounds what a single run adds, so that a turn under way does not count as usual.
	maxSpread    = 1.0
	turnDuration = 900 * time.Millisecond
	// minTurnRuns is the weight of the short average from which a turn counts.
	minTurnRuns = 3.0
	// priorRuns is the number of runs that the assumption of the mean pace weighs: the variance between the runs of
	// an instance is about four times that between instances.
	priorRuns = 4.0
	// idleTimeConstant is the time constant with which the pace of an instance without runs returns to the mean.
	idleTimeConstant = 30 * time.Second
)

// average is an average over past runs, whose weight decays with time.
type average struct{ sum, weight float64 }

func (a *average) add(value, keep float64) {
	a.sum, a.weight = a.sum*keep+value, a.weight*keep+1
}

func (a *average) mean() float64 {
	if a.weight == 0 {
		return 0
	}
	return a.sum / a.weight
}

// Record adds a run that took ran, where runs of its kind usually take usual over all instances of the service. A run
// without a usual time changes nothing.
func (m *Meter) Record(usual, ran, now time.Duration) {
	if usual <= 0 || ran <= 0 {
		return
	}
	elapsed := max(0, now-m.updatedAt)
	m.updatedAt = max(m.updatedAt, now)
	value := clampLog(math.Log(float64(usual) / float64(ran)))
	m.long.add(value, math.Exp(-float64(elapsed)/float64(longTimeConstant)))
	m.short.add(value, math.Exp(-float64(elapsed)/float64(shortTimeConstant)))
	m.runs++
	m.detectTurn(now)
	m.spread.add(min(maxSpread, square(m.short.mean()-m.long.mean())), math.Exp(-float64(elapsed)/float64(spreadTimeConstant)))
}

// RecordAtLeast adds a run that was given up after ran. It counts only if it is slower than the pace says.
func (m *Meter) RecordAtLeast(usual, ran, now time.Duration) {
	if usual > 0 && ran > 0 && math.Log(float64(usual)/float64(ran)) < m.long.mean() {
		m.Record(usual, ran, now)
	}
}

// detectTurn replaces the long average by the short one once they have differed for turnDuration.
func (m *Meter) detectTurn(now time.Duration) {
	least := max(turnDeviation, turnSpread*math.Sqrt(m.spread.mean()))
	if math.Abs(m.short.mean()-m.long.mean()) <= least || m.short.weight < minTurnRuns {
		m.deviatesSince = 0
		return
	}
	if m.deviatesSince == 0 {
		m.deviatesSince = max(now, 1)
		return
	}
	if now-m.deviatesSince >= turnDuration {
		m.long, m.deviatesSince = m.short, 0
	}
}

// Pace returns the work that the instance does in a given time, relative to the mean of its service; 0 if it is not
// known yet.
func (m *Meter) Pace(now time.Duration) float64 {
	if m.runs < MinRuns {
		return 0
	}
	known := m.long.weight / (m.long.weight + priorRuns)
	idle := math.Exp(-float64(max(0, now-m.updatedAt)) / float64(idleTimeConstant))
	return math.Exp(clampLog(m.long.mean() * known * idle))
}

// Reset forgets all runs, for another incarnation of the instance.
func (m *Meter) Reset() { *m = Meter{} }

func square(x float64) float64 { return x * x }

func clampLog(value float64) float64 { return min(math.Log(MaxPace), max(math.Log(MinPace), value)) }

// Usual is the usual time of runs of one kind over all instances of a service. The zero value knows none.
type Usual struct {
	log  float64
	runs int
}

// usualRuns is the number of newest runs that determine the usual time.
const usualRuns = 50

// Record adds a run.
func (u *Usual) Record(ran time.Duration) {
	if ran <= 0 {
		return
	}
	u.runs = min(u.runs+1, usualRuns)
	u.log += (math.Log(float64(ran)) - u.log) / float64(u.runs)
}

// Time returns the usual time; 0 before the first run.
func (u *Usual) Time() time.Duration {
	if u.runs == 0 {
		return 0
	}
	return time.Duration(math.Exp(u.log))
}
