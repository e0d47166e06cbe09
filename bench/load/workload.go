package load

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/rotisserie/eris"

	"limehold/bench/shape"
)

// Workload defines how demand changes during a run. All random choices come from
// the run's seed, so a run can be repeated.
type Workload struct {
	Name string
	// rate returns the factor on the run's rate at a point of the run, from 0 (start) to 1 (end).
	rate func(share float64) float64
	// hotShare returns the share of a stream's requests that go to its first prefix
	// at a point of the run. The other requests are spread over all prefixes evenly.
	hotShare func(share float64) float64
	// shiftsPerMinute is how often a key's popularity changes considerably.
	shiftsPerMinute float64
}

const (
	// targetShifts is the number of shifts per minute in a deployment of targetKeys
	// keys, from docs/CAPACITY.md. A run has shifts in proportion to its keys.
	targetShifts = 580
	targetKeys   = 1_300_000
	// minShifts is the minimum of shifts per minute, for small deployments.
	minShifts = 6
	fullCycle = 2 * math.Pi
)

func constant(value float64) func(float64) float64 { return func(float64) float64 { return value } }

// peak rises from low to high in the middle of a run and falls again (a bell curve).
func peak(low, high float64) func(float64) float64 {
	return func(progress float64) float64 {
		const steepness = 40
		distance := progress - 0.5
		return low + (high-low)*math.Exp(-steepness*distance*distance)
	}
}

// WorkloadByName returns a predefined workload, or an error if there is none of that name.
func WorkloadByName(name string) (*Workload, error) {
	switch name {
	case "", "steady":
		return &Workload{Name: "steady", rate: constant(1), hotShare: constant(0)}, nil
	case "holiday":
		// Many requests go to one service, as before a holiday weekend.
		return &Workload{Name: name, rate: peak(0.7, 1.6), hotShare: peak(0.3, 0.7), shiftsPerMinute: minShifts}, nil
	case "press-slot":
		// Most requests go to one service, as before a print deadline.
		return &Workload{Name: name, rate: peak(0.8, 1.4), hotShare: peak(0.25, 0.8), shiftsPerMinute: minShifts}, nil
	case "diurnal":
		return &Workload{Name: name, rate: func(progress float64) float64 { return 1 + 0.6*math.Sin(fullCycle*progress) }, hotShare: constant(0), shiftsPerMinute: minShifts}, nil
	case "shifts":
		return &Workload{Name: name, rate: constant(1), hotShare: constant(0), shiftsPerMinute: 10 * minShifts}, nil
	}
	return nil, eris.Errorf("--workload is %q: use steady, holiday, press-slot, diurnal or shifts", name)
}

// pickPrefix chooses the path prefix of a request.
func (w *Workload) pickPrefix(random *rand.Rand, stream *shape.Stream, progress float64) string {
	if len(stream.Prefixes) > 1 && random.Float64() < w.hotShare(progress) {
		return stream.Prefixes[0]
	}
	return stream.Prefixes[random.IntN(len(stream.Prefixes))]
}

// keyPicker draws keys with a probability that falls with their rank. Shifts
// assign ranks to other keys.
type keyPicker struct {
	cumulative []float64
	ranks      []int
}

func newKeyPicker(keys int, skew float64) *keyPicker {
	picker := &keyPicker{}
	sum := 0.0
	for rank := 1; rank <= keys; rank++ {
		sum += math.Pow(float64(rank), -skew)
		picker.cumulative = append(picker.cumulative, sum)
		picker.ranks = append(picker.ranks, rank-1)
	}
	return picker
}

// shift swaps one of the most popular keys with a less popular one.
func (p *keyPicker) shift(random *rand.Rand) {
	const popular = 3
	if len(p.ranks) <= popular {
		return
	}
	hot, cold := random.IntN(popular), popular+random.IntN(len(p.ranks)-popular)
	p.ranks[hot], p.ranks[cold] = p.ranks[cold], p.ranks[hot]
}

// shiftAll replaces the popular half of the keys by the other half.
func (p *keyPicker) shiftAll() {
	half := len(p.ranks) / 2
	p.ranks = append(p.ranks[half:], p.ranks[:half]...)
}

// pick draws one of the first count keys.
func (p *keyPicker) pick(random *rand.Rand, count int) string {
	at := random.Float64() * p.cumulative[count-1]
	rank := 0
	for p.cumulative[rank] < at {
		rank++
	}
	return fmt.Sprintf("key-%d", p.ranks[rank]%count)
}

// shiftRate returns the number of shifts per minute: the workload's own number, or the share of
// targetShifts for the given number of keys if that is more. It is 0 if the workload has no shifts.
func (w *Workload) shiftRate(keys int) float64 {
	if w.shiftsPerMinute == 0 {
		return 0
	}
	return max(w.shiftsPerMinute, targetShifts*float64(keys)/targetKeys)
}
