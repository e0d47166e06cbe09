package ingress

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against more requests than an instance takes in any span: at each rate of arrivals, after pauses, and while the
// limit changes.
func TestRateLimitHoldsInEachSpan(t *testing.T) {
	const span = 4 * time.Second
	for name, limits := range map[string][]float64{
		"a fraction":             {20.6},
		"one in four seconds":    {minLimit},
		"many":                   {5000},
		"falls":                  {200, 20.6},
		"rises":                  {2, 40},
		"ends and comes back":    {20.6, 0, 20.6},
		"falls, rises and falls": {100, 5, 100, 5},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(63, 2))
			var limit rateLimit
			now, highest := time.Duration(0), 0.0
			for _, perSecond := range limits {
				limit.set(perSecond, now)
				highest = max(highest, perSecond)
				var admitted []time.Duration
				for until := now + 3*span; now < until; now += time.Duration(random.ExpFloat64() * float64(time.Millisecond) / 2) {
					if random.IntN(5000) == 0 {
						now += time.Second // a pause
					}
					if limit.wait(now) == 0 {
						limit.record(now)
						admitted = append(admitted, now)
					}
				}
				if perSecond == 0 {
					continue
				}
				most, first := 0, 0
				for last := range admitted {
					for admitted[last]-admitted[first] >= span {
						first++
					}
					most = max(most, last-first+1)
				}
				if bound := int(math.Ceil(perSecond*(span+rateLimitBurst).Seconds())) + 1; most > bound {
					t.Errorf("%d requests in %v at %g a second, %d are allowed", most, span, perSecond, bound)
				}
				if least := int(0.8 * perSecond * span.Seconds()); perSecond < 500 && most < least {
					t.Errorf("only %d requests in %v at %g a second", most, span, perSecond)
				}
			}
		})
	}
}
