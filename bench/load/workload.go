package load

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/rotisserie/eris"

	"limehold/bench/shape"
)

// Workload says how demand changes during a run. It is reproducible: what is
// drawn comes from the run's seed.
type Workload struct {
	Name string
	// rate multiplies the run's rate at a share (0 to 1) of its length.
	rate func(share float64) float64
	// hot is the share of a stream's requests that go to its first prefix; zero:
	// all prefixes alike.
	hot func(share float64) float64
	// shiftsPerMinute is how often a key's popularity changes by a lot.
	shiftsPerMinute float64
}

const (
	// targetShifts and targetKeys are the size in docs/CAPACITY.md, of which a run takes the
	// share of the keys that it has.
	targetShifts = 580
	targetKeys   = 1_300_000
	// leastShifts lets a small deployment see some shifts at all.
	leastShifts = 6
	stagesOfDay = 2 * math.Pi
)

func constant(value float64) func(float64) float64 { return func(float64) float64 { return value } }

// between rises from low to high around the middle of a run and falls again.
func between(low, high float64) func(float64) float64 {
	return func(share float64) float64 {
		const steepness = 40
		distance := share - 0.5
		return low + (high-low)*math.Exp(-steepness*distance*distance)
	}
}

// WorkloadByName returns one of the workloads.
func WorkloadByName(name string) (*Workload, error) {
	switch name {
	case "", "steady":
		return &Workload{Name: "steady", rate: constant(1), hot: constant(0)}, nil
	case "holiday":
		// A popular stretch of coast fills on a holiday weekend.
		return &Workload{Name: name, rate: between(0.7, 1.6), hot: between(0.3, 0.7), shiftsPerMinute: leastShifts}, nil
	case "press-slot":
		// One school's proofs turn hot before its press slot.
		return &Workload{Name: name, rate: between(0.8, 1.4), hot: between(0.25, 0.8), shiftsPerMinute: leastShifts}, nil
	case "diurnal":
		return &Workload{Name: name, rate: func(share float64) float64 { return 1 + 0.6*math.Sin(stagesOfDay*share) }, hot: constant(0), shiftsPerMinute: leastShifts}, nil
	case "shifts":
		return &Workload{Name: name, rate: constant(1), hot: constant(0), shiftsPerMinute: 10 * leastShifts}, nil
	}
	return nil, eris.Errorf("--workload is %q: use steady, holiday, press-slot, diurnal or shifts", name)
}

// prefix draws where a request goes.
func (w *Workload) prefix(random *rand.Rand, stream *shape.Stream, share float64) string {
	if len(stream.Prefixes) > 1 && random.Float64() < w.hot(share) {
		return stream.Prefixes[0]
	}
	return stream.Prefixes[random.IntN(len(stream.Prefixes))]
}

// keyPicker draws keys whose popularity falls with their rank; shifts give ranks
// to other keys.
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

// shift makes a key that hardly anybody asked for one of the most popular.
func (p *keyPicker) shift(random *rand.Rand) {
	const popular = 3
	if len(p.ranks) <= popular {
		return
	}
	hot, cold := random.IntN(popular), popular+random.IntN(len(p.ranks)-popular)
	p.ranks[hot], p.ranks[cold] = p.ranks[cold], p.ranks[hot]
}

// shiftAll makes other keys popular at once.
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

// shiftRate is the number of marked shifts a minute: what the target size
// means for so many keys, or more if the workload says so.
func (w *Workload) shiftRate(keys int) float64 {
	if w.shiftsPerMinute == 0 {
		return 0
	}
	return max(w.shiftsPerMinute, targetShifts*float64(keys)/targetKeys)
}
