package ingress

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/clock"
)

// In no second more requests are admitted to a cold instance than it sustains, whatever was sent
// before and whenever its state is reported.
func TestColdInstanceIsSentNoMoreThanItBears(t *testing.T) {
	const perSecond = 13
	for name, c := range map[string]struct {
		// happens changes the reported state at a time.
		happens func(cold *coldStart, at, now time.Duration)
		// bounded reports whether the limit has to hold at a time.
		bounded func(at time.Duration) bool
	}{
		"cold from the start": {
			func(cold *coldStart, at, now time.Duration) {
				if at == 0 {
					cold.update(3*second, now)
				}
			},
			func(at time.Duration) bool { return at < 3*second },
		},
		"told of after a second of warm traffic": {
			func(cold *coldStart, at, now time.Duration) {
				if at == 2*second {
					cold.update(3*second, now)
				}
			},
			func(at time.Duration) bool { return at >= 2*second && at < 5*second },
		},
		"doubted until the answer comes": {
			func(cold *coldStart, at, now time.Duration) {
				switch at {
				case 2 * second:
					cold.markUncertain(now)
				case 4 * second:
					cold.updateFromProbe(0, now-second/10, now)
				}
			},
			func(at time.Duration) bool { return at >= 2*second && at < 4*second },
		},
		"doubted, and an older question is answered": {
			func(cold *coldStart, at, now time.Duration) {
				switch at {
				case 2 * second:
					cold.markUncertain(now)
				case 2*second + second/10:
					cold.updateFromProbe(0, now-second/2, now)
				}
			},
			func(at time.Duration) bool { return at >= 2*second },
		},
		"never answered, announced late and later": {
			func(cold *coldStart, at, now time.Duration) {
				switch at {
				case 0:
					cold.markUncertain(now)
				case 4 * second, 7 * second:
					cold.update(0, now)
				}
			},
			func(at time.Duration) bool { return at < 7*second },
		},
		"a newer word makes it colder": {
			func(cold *coldStart, at, now time.Duration) {
				switch at {
				case 0:
					cold.update(second, now)
				case second / 2:
					cold.update(4*second, now)
				}
			},
			func(at time.Duration) bool { return at < 4*second+second/2 },
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				random := rand.New(rand.NewPCG(seed, 1))
				const start = 100 * second
				var cold coldStart
				cold.setLimit(perSecond, start)
				var sent []time.Duration
				warm := 0
				for at := time.Duration(0); at < 9*second; at += time.Millisecond {
					now := start + at
					c.happens(&cold, at, now)
					if random.IntN(10) < 3 && cold.wait(now) == 0 {
						cold.record(now)
						sent = append(sent, at)
						if !c.bounded(at) {
							warm++
							continue
						}
						within := 0
						for _, other := range sent {
							if at-other < second {
								within++
							}
						}
						is.True(within <= perSecond)
					}
				}
				is.True(c.bounded(8900*time.Millisecond) || warm > 20*perSecond) // a warm instance is not limited
			}
		})
	}
}

// An ingress that has just started must assume that an earlier one has sent requests.
func TestNothingIsSentInTheFirstSecondToAColdInstance(t *testing.T) {
	is := is.New(t)
	var cold coldStart
	cold.setLimit(5, 10*second)
	cold.update(3*second, 10*second)
	is.True(cold.wait(10*second+900*time.Millisecond) > 0)
	is.Equal(cold.wait(11*second+100*time.Millisecond), time.Duration(0))
}

// Waiting requests are admitted at the rate that a cold instance sustains, and a request that cannot
// be in time is rejected at once.
func TestGateLetsRequestsInAsAColdInstanceBearsThem(t *testing.T) {
	is := is.New(t)
	g := newSlotGate(1)
	g.resize(10)
	now := clock.Now()
	g.updateCold(func(c *coldStart) {
		c.setLimit(2, now)
		c.update(time.Hour, now)
	})
	ask := slotRequest{target: 2 * second, remaining: 2 * second}
	is.Equal(g.enter(ask, nil), decisionAdmitted)
	is.Equal(g.enter(ask, nil), decisionAdmitted)
	is.True(g.retryAfter() > second/2)
	is.Equal(g.enter(slotRequest{target: second / 10, remaining: second / 10}, nil), decisionFull)
	began := time.Now()
	is.Equal(g.enter(ask, nil), decisionAdmitted)
	is.True(time.Since(began) > second/2)
	is.True(g.capacity() < 0.1)
}
