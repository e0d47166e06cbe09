package pace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// speed is the speed of a simulated instance at a time.
type speed func(at time.Duration) float64

func steady(factor float64) speed { return func(time.Duration) float64 { return factor } }

// feed records runs of varying length of an instance, one each interval, and returns the newest pace.
func feed(m *Meter, random *rand.Rand, factor speed, from, until, interval time.Duration) float64 {
	const usual = 100 * time.Millisecond
	for at := from; at < until; at += interval {
		work := math.Exp(0.8 * random.NormFloat64())
		m.Record(usual, time.Duration(float64(usual)*work/factor(at)), at)
	}
	return m.Pace(until)
}

func near(value, want, tolerance float64) bool { return math.Abs(math.Log(value/want)) < tolerance }

// TestPaceFollowsTheInstance answers the load of instances that differ by 2 to 3 times in pace for as long as they
// run, turn slow, stall for some hundred milliseconds, and get no requests.
func TestPaceFollowsTheInstance(t *testing.T) {
	const interval = 17 * time.Millisecond
	for name, test := range map[string]struct {
		factor    speed
		until     time.Duration
		want      float64
		tolerance float64
	}{
		"fast instance":                         {steady(1.7), 10 * time.Second, 1.7, 0.25},
		"slow instance":                         {steady(0.5), 10 * time.Second, 0.5, 0.25},
		"usable after a dozen runs":             {steady(0.5), (MinRuns + 1) * interval, 0.6, 0.6},
		"slow within about a second":            {func(at time.Duration) float64 { return 1 / (1 + 4*min(1, math.Floor(at.Seconds()/10))) }, 11300 * time.Millisecond, 0.2, 0.55},
		"awake again within about a second":     {func(at time.Duration) float64 { return 0.2 + 0.8*min(1, math.Floor(at.Seconds()/10)) }, 11300 * time.Millisecond, 1, 0.55},
		"stalls often, slow within two seconds": {stallingTurn, 12000 * time.Millisecond, 0.13, 0.7},
		"a stall of 300 ms is no turn":          {func(at time.Duration) float64 { return stall(at, 300*time.Millisecond) }, 10400 * time.Millisecond, 1, 0.35},
		"a stall of 800 ms is no turn":          {func(at time.Duration) float64 { return stall(at, 800*time.Millisecond) }, 12 * time.Second, 1, 0.45},
		"a stall of 300 ms leaves no traces":    {func(at time.Duration) float64 { return stall(at, 300*time.Millisecond) }, 14 * time.Second, 1, 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(50) {
				var m Meter
				got := feed(&m, rand.New(rand.NewPCG(seed, 1)), test.factor, interval, test.until, interval)
				if !near(got, test.want, test.tolerance) {
					t.Fatalf("seed %d: pace %.2f, want %.2f", seed, got, test.want)
				}
				is.True(got >= MinPace && got <= MaxPace)
			}
		})
	}
}

// stallingTurn is the speed of an instance that stalls for a fifth of the time, and is six times slower from the tenth
// second on.
func stallingTurn(at time.Duration) float64 {
	factor := 1.0
	if at/(400*time.Millisecond)%5 == 0 {
		factor = 1.0 / 3
	}
	if at >= 10*time.Second {
		factor /= 6
	}
	return factor
}

// stall is the speed of an instance that works at a third of its speed for a while from the tenth second on.
func stall(at, length time.Duration) float64 {
	if at >= 10*time.Second && at < 10*time.Second+length {
		return 1.0 / 3
	}
	return 1
}

func TestMeterKnowsNothingYet(t *testing.T) {
	for name, prepare := range map[string]func(*Meter){
		"no run":              func(*Meter) {},
		"too few runs":        func(m *Meter) { repeat(m, MinRuns-1, time.Second, time.Second) },
		"no usual time":       func(m *Meter) { repeat(m, 100, 0, time.Second) },
		"no time of the run":  func(m *Meter) { repeat(m, 100, time.Second, 0) },
		"another incarnation": func(m *Meter) { repeat(m, 100, time.Second, time.Second); m.Reset() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var m Meter
			prepare(&m)
			is.Equal(m.Pace(time.Hour), 0.0)
		})
	}
}

func repeat(m *Meter, runs int, usual, ran time.Duration) {
	for i := range runs {
		m.Record(usual, ran, time.Duration(i+1)*10*time.Millisecond)
	}
}

func TestAbsurdRunsAreBounded(t *testing.T) {
	is := is.New(t)
	var slow, fast Meter
	repeat(&slow, 1000, time.Nanosecond, math.MaxInt64)
	repeat(&fast, 1000, math.MaxInt64, time.Nanosecond)
	is.True(slow.Pace(10*time.Second) >= MinPace)
	is.True(fast.Pace(10*time.Second) <= MaxPace)
}

func TestPaceWithoutRunsReturnsToTheMean(t *testing.T) {
	is := is.New(t)
	var m Meter
	repeat(&m, 200, time.Second, 2*time.Second)
	is.True(near(m.Pace(3*time.Second), 0.5, 0.1))
	is.True(m.Pace(30*time.Second) > m.Pace(3*time.Second))
	is.True(near(m.Pace(10*time.Minute), 1, 0.01))
}

// TestGivenUpRuns answers the load of runs that outlast their timeout: they show that an instance is slow, never that it
// is fast.
func TestGivenUpRuns(t *testing.T) {
	is := is.New(t)
	var m Meter
	repeat(&m, 200, time.Second, time.Second)
	before := m.Pace(2 * time.Second)
	m.RecordAtLeast(time.Second, 100*time.Millisecond, 2*time.Second)
	is.Equal(m.Pace(2*time.Second), before)
	m.RecordAtLeast(time.Second, 3*time.Second, 2*time.Second)
	is.True(m.Pace(2*time.Second) < before)
}

// TestMeanOfAllRoutersDoesNotRunAway lets meters and usual times of several routers feed on each other's runs: the
// paces keep their ratio and their level.
func TestMeanOfAllRoutersDoesNotRunAway(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 1))
	factors := []float64{0.5, 0.7, 1, 1.2, 1.7}
	usual := make([]Usual, 20)
	meters := make([]Meter, len(factors))
	weights := []float64{1, 1, 1, 1, 1}
	for round := range 60 {
		for step := range 1000 {
			at := time.Duration(round)*time.Second + time.Duration(step)*time.Millisecond + 1
			to, router := pick(random, weights), &usual[random.IntN(len(usual))]
			ran := time.Duration(100 * float64(time.Millisecond) * math.Exp(0.8*random.NormFloat64()) / factors[to])
			meters[to].Record(router.Time(), ran, at)
			router.Record(ran)
		}
		for i := range meters {
			if known := meters[i].Pace(time.Duration(round+1) * time.Second); known > 0 {
				weights[i] = known // work follows the paces
			}
		}
	}
	now := 60 * time.Second
	for i := range meters {
		is.True(near(meters[i].Pace(now)/meters[2].Pace(now), factors[i], 0.3))
		is.True(meters[i].Pace(now) > 0.2 && meters[i].Pace(now) < 5)
	}
}

func pick(random *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	at := random.Float64() * sum
	for i, weight := range weights {
		if at -= weight; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}
