package router

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"limehold/routing"
)

// Summed over hundreds of routers with a few requests each, every share receives its part of the requests.
func TestSharesAreRightInSumOverManyRouters(t *testing.T) {
	const routers, requests = 280, 200
	for name, weights := range map[string][]float64{
		"halves": {50, 50}, "seven to three": {70, 30}, "nine to one": {90, 10}, "small numbers": {2, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			total := 0.0
			var shares []routing.Share
			for i, weight := range weights {
				shares = append(shares, routing.Share{Service: string(rune('a' + i)), Weight: weight})
				total += weight
			}
			splitters := make([]*splitter, routers)
			for i := range splitters {
				// Equally many routers start at each position of the round, as with random positions on average.
				splitters[i] = newSplitterAt(shares, i%splitterPositions)
			}
			counts := map[string]float64{}
			for i := range requests {
				counts[splitters[i%routers].next()]++
			}
			for i, share := range shares {
				// The bound is four standard deviations of independently drawn requests.
				part := weights[i] / total
				is.True(math.Abs(counts[share.Service]/requests-part) < 4*math.Sqrt(part*(1-part)/requests))
			}
		})
	}
}

// Routers start at random positions, so that not all of them send their first request to the
// same share.
func TestRoutersBeginAtDrawnPlaces(t *testing.T) {
	is := is.New(t)
	shares := []routing.Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}
	first := map[string]int{}
	for range 280 {
		first[newSplitter(shares).next()]++
	}
	is.Equal(len(first), 2)
}
