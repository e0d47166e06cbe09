package runplan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// learned returns routes with one route "r" that has had some runs, one each millisecond, and the time after them.
func learned(runs ...time.Duration) (*Routes, time.Duration) {
	routes, now := &Routes{}, time.Duration(0)
	for _, ran := range runs {
		now += ms
		routes.Begin("r", now)
		routes.Record("r", ran, now)
	}
	return routes, now
}

// repeated returns a run time for each of count runs.
func repeated(count int, ran time.Duration) []time.Duration {
	return slices.Repeat([]time.Duration{ran}, count)
}

func TestRequestsThatCannotEndInTimeAreRejected(t *testing.T) {
	mixed := append(repeated(20, 200*ms), repeated(80, 1500*ms)...)
	for name, c := range map[string]struct {
		runs     []time.Duration
		left     time.Duration
		vain     bool
		min, max time.Duration
	}{
		"new route, hardly any time":                       {nil, ms, false, ms, ms},
		"few runs so far, little time":                     {repeated(5, 900*ms), 100 * ms, false, 100 * ms, 100 * ms},
		"burst, timeout 1.2 s, runs of 300 ms":             {repeated(50, 300*ms), 1200 * ms, false, 840 * ms, 960 * ms},
		"burst, timeout 1.2 s, 250 ms left of it":          {repeated(50, 300*ms), 250 * ms, true, 0, 0},
		"slow instance, runs of 1.5 s":                     {repeated(50, 1500*ms), 1200 * ms, true, 0, 0},
		"a run that just fits must not wait":               {repeated(50, 1000*ms), 1200 * ms, false, 0, 250 * ms},
		"most runs too long":                               {mixed, 1200 * ms, true, 0, 0},
		"most runs too long, more time":                    {mixed, 6 * time.Second, false, 4 * time.Second, 5 * time.Second},
		"call of 10 ms with 150 ms left behind 0.5 s runs": {repeated(50, 10*ms), 150 * ms, false, 135 * ms, 145 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			routes, now := learned(c.runs...)
			wait, vain := routes.MaxWait("r", c.left, now)
			is.Equal(vain, c.vain)
			is.True(wait >= c.min && wait <= c.max)
			is.Equal(routes.IsVain("r", c.left), c.vain)
		})
	}
}

// A run that is cut off at its deadline says only that it is longer. Counted as one of that length, runs that begin
// late and are cut off would make the route look short.
func TestRunsThatAreCutOffDoNotMakeARouteLookShort(t *testing.T) {
	for name, c := range map[string]struct {
		runs       []time.Duration
		cuts, left time.Duration
	}{
		"nothing else known":    {nil, 100 * ms, 100 * ms},
		"known to be longer":    {repeated(50, 400*ms), 100 * ms, 200 * ms},
		"longer than all known": {repeated(50, 400*ms), 1200 * ms, 1200 * ms},
		"as long as an upload":  {nil, 20 * time.Second, 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			routes, now := learned(c.runs...)
			for range 200 {
				now += ms
				routes.RecordCut("r", c.cuts, now)
			}
			is.True(routes.IsVain("r", c.left))
		})
	}
}

// A route whose requests are all rejected has no runs that could show that they are short again.
func TestRouteThatWasLongOnceRecovers(t *testing.T) {
	is := is.New(t)
	const left, short = 1200 * ms, 100 * ms
	routes, now := learned(repeated(100, 3*time.Second)...)
	let, recovered := 0, time.Duration(0)
	began := now
	for ; now < began+20*time.Second && recovered == 0; now += 10 * ms {
		if _, vain := routes.MaxWait("r", left, now); !vain {
			routes.Begin("r", now)
			routes.Record("r", short, now+short)
			let++
			if !routes.IsVain("r", left) {
				recovered = now - began
			}
		}
	}
	is.True(recovered > 0)
	is.True(recovered <= 10*time.Second)
	is.True(let <= int(recovered/probeInterval)+1) // one each interval at most
}

// Requests that return with little time left are rejected while others of the route run, and are no probes.
func TestProbesHaveAsMuchTimeAsRequestsOfTheRouteHave(t *testing.T) {
	for name, c := range map[string]struct {
		left time.Duration
		vain bool
	}{
		"all of its time":       {1200 * ms, false},
		"has come back, 300 ms": {300 * ms, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			routes, now := learned(repeated(100, 3*time.Second)...)
			_, vain := routes.MaxWait("r", 1200*ms, now)
			is.True(vain)
			_, vain = routes.MaxWait("r", c.left, now+probeInterval)
			is.Equal(vain, c.vain)
		})
	}
}

func TestAnotherIncarnationIsNotJudgedByTheLastOne(t *testing.T) {
	is := is.New(t)
	routes, now := learned(repeated(100, 3*time.Second)...)
	is.True(routes.IsVain("r", 100*ms))
	routes.Forget()
	_, vain := routes.MaxWait("r", 100*ms, now)
	is.True(!vain)
}

func TestRoutesAreBounded(t *testing.T) {
	is := is.New(t)
	routes := &Routes{}
	for i := range 3 * maxRoutes {
		routes.Record(fmt.Sprint(i), ms, 0)
		routes.MaxWait(fmt.Sprint(-i-1), ms, 0)
	}
	is.Equal(len(routes.byName), maxRoutes)
	wait, vain := routes.MaxWait("another", 100*ms, 0)
	is.Equal(wait, 100*ms)
	is.True(!vain)
}

// For any run times: what a free instance most likely serves in time is let through, also after the longest wait that
// is allowed, and a wait never exceeds the time left.
func TestNothingIsRejectedThatWouldMostLikelyEndInTime(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 66))
		var runs []time.Duration
		typical := float64(ms) * float64(5+random.IntN(2000))
		for range 10 + random.IntN(300) {
			runs = append(runs, time.Duration(typical*(0.3+3*random.Float64()*random.Float64())))
		}
		routes, now := learned(runs...)
		recent := runs[max(0, len(runs)-200):]
		for range 20 {
			left := time.Duration(random.Int64N(int64(5 * time.Second)))
			inTime := 0
			for _, ran := range recent {
				if ran <= left*8/10 { // the buckets are 1.19 apart
					inTime++
				}
			}
			wait, vain := routes.MaxWait("r", left, now)
			if vain && inTime > len(recent)*7/10 {
				t.Fatalf("seed %d: rejected with %v left, in which %d of %d runs end", seed, left, inTime, len(recent))
			}
			if vain != routes.IsVain("r", left) {
				t.Fatalf("seed %d: vain %v on arrival with %v left, not when it begins", seed, vain, left)
			}
			if wait < 0 || wait > left {
				t.Fatalf("seed %d: may wait %v of %v left", seed, wait, left)
			}
			known := routes.byName["r"].runs
			if got, want := known.Share(left-wait), waitShare*known.Share(left); !vain && got < want-0.001 {
				t.Fatalf("seed %d: a share of %.3f ends in time after a wait of %v, want %.3f", seed, got, wait, want)
			}
		}
	}
}

// More time left never turns a request that is let through into one that is rejected, and Within is the inverse of
// Share.
func TestMoreTimeIsNeverWorse(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 5))
		var runs []time.Duration
		for range 100 {
			runs = append(runs, time.Duration(random.Int64N(int64(2*time.Second))))
		}
		routes, _ := learned(runs...)
		known := routes.byName["r"].runs
		last := 0.0
		for left := time.Duration(0); left < 3*time.Second; left += 7 * ms {
			share := known.Share(left)
			if share < last || share > 1.0001 {
				t.Fatalf("seed %d: share %.4f within %v, %.4f within less", seed, share, left, last)
			}
			if back := known.Within(share); share > 0 && share < 1 && known.Share(back) < share-0.001 {
				t.Fatalf("seed %d: share %.4f within %v, want %.4f", seed, known.Share(back), back, share)
			}
			last = share
		}
	}
}
