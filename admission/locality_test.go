package admission

import (
	"testing"

	"github.com/matryer/is"
)

func TestLargeAnswersLeaveTheirZoneAsFarAsTheyAreLate(t *testing.T) {
	cases := map[string]struct {
		// lateOf makes every lateOf-th request late; 0 makes none late.
		lateOf      int
		large       bool
		least, most float64
	}{
		"all in time":                {0, false, remoteCost, remoteCost},
		"all in time, large answers": {0, true, remoteCostLarge, remoteCostLarge},
		"few late, large answers":    {30, true, 20, 38},
		"half late, large answers":   {2, true, remoteCost, remoteCost},
		"half late":                  {2, false, remoteCost, remoteCost},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var locality Locality
			for number := range 2000 {
				locality.Observe(c.lateOf > 0 && number%c.lateOf == 0)
			}
			cost := locality.RemoteCost(c.large)
			is.True(cost >= c.least-1e-9 && cost <= c.most+1e-9)
		})
	}
}
