package load

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"limehold/bench/shape"
)

func TestPopularityFollowsRankAndShifts(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	picker := newKeyPicker(100, 1)
	draw := func() map[string]int {
		counts := map[string]int{}
		for range 5000 {
			counts[picker.pick(random, 100)]++
		}
		return counts
	}
	before := draw()
	is.True(before["key-0"] > 5*before["key-50"])
	picker.shiftAll()
	after := draw()
	is.True(after["key-50"] > 5*after["key-0"])
	for range 50 {
		picker.shift(random)
	}
	is.Equal(len(picker.ranks), 100)
}

func TestHotPrefixPeaksInTheMiddle(t *testing.T) {
	is := is.New(t)
	deployment, err := shape.ByName("arbok")
	is.NoErr(err)
	workload, err := WorkloadByName("press-slot")
	is.NoErr(err)
	random := rand.New(rand.NewPCG(1, 1))
	stream := &deployment.Streams[0]
	share := func(progress float64) int {
		count := 0
		for range 1000 {
			if workload.pickPrefix(random, stream, progress) == stream.Prefixes[0] {
				count++
			}
		}
		return count
	}
	is.True(share(0.5) > share(0.05)+200)
	_, err = WorkloadByName("unknown")
	is.True(err != nil)
}

// The same seed must produce the same requests, or a failed run can't be repeated.
func TestSeedGivesTheSameRequestsAgain(t *testing.T) {
	is := is.New(t)
	deployment, err := shape.ByName("acampadas")
	is.NoErr(err)
	requests := func() []requestSpec {
		workload, err := WorkloadByName("holiday")
		is.NoErr(err)
		r := newRunner(Options{Shape: deployment, Rate: 100, Duration: 1e9, Seed: 5, Skew: 1, Workload: workload})
		var list []requestSpec
		for number := range 200 {
			list = append(list, *r.nextRequest(number, 0))
		}
		return list
	}
	is.Equal(requests(), requests())
}
