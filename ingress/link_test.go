package ingress

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/clock"
)

// bytesEach is the size of the answers here.
const bytesEach = 30_000

func TestWaitForTheLinkIsForeseen(t *testing.T) {
	each := newLink(8).time(bytesEach)
	for name, c := range map[string]struct {
		megabits float64
		size     int
		// under is how many requests of the route are under way, waiting how many answers wait.
		under, waiting int
		wait           time.Duration
	}{
		"the speed is not known":        {0, bytesEach, 5, 0, 0},
		"small answers":                 {8, 1000, 5, 3, 0},
		"nothing else":                  {8, bytesEach, 0, 0, each},
		"three run":                     {8, bytesEach, 3, 0, 4 * each},
		"three run, and two are waited": {8, bytesEach, 3, 2, 6 * each},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLink(c.megabits)
			l.learn("r", c.size)
			now := clock.Now()
			var begun []float64
			for range c.under {
				begun = append(begun, l.begin("r"))
			}
			l.mutex.Lock()
			for range c.waiting {
				l.waiting = append(l.waiting, &transfer{size: bytesEach, turn: make(chan struct{})})
				l.queued += bytesEach
			}
			l.mutex.Unlock()
			is.True((l.wait("r", now) - c.wait).Abs() < time.Millisecond)
			for _, expected := range begun {
				l.end(expected)
			}
			l.mutex.Lock()
			is.Equal(l.coming, 0.0)
			l.mutex.Unlock()
		})
	}
}

// Large answers take no more than their share of the link, however many there are at once,
// and each gets its turn.
func TestLargeAnswersAreSentNoFasterThanTheLink(t *testing.T) {
	is := is.New(t)
	l := newLink(8)
	is.True(l.mayHold(bytesEach))
	is.Equal(l.mayHold(largeAnswer-1), false)
	is.Equal(l.mayHold(heldAnswer+1), false)
	began := time.Now()
	var all sync.WaitGroup
	const answers = 10
	for range answers {
		all.Go(func() { l.await(bytesEach, clock.Now()+time.Minute, nil) })
	}
	all.Wait()
	// The last one is let go when those before it have been sent.
	is.True(time.Since(began) >= l.time((answers-1)*bytesEach)-answers*turnAtOnce)
	is.Equal(l.queued, 0.0)
}

func TestAnswersThatAreInTimeGoFirstTheShortestOfThemFirst(t *testing.T) {
	now := 100 * second
	late, soon := now-second, now+20*second
	for name, c := range map[string]struct {
		waiting []transfer
		first   int
	}{
		"one":                        {[]transfer{{size: 1, due: late}}, 0},
		"the shorter one":            {[]transfer{{size: 3, due: soon}, {size: 2, due: soon}, {size: 4, due: soon}}, 1},
		"late ones last":             {[]transfer{{size: 1, due: late}, {size: 9, due: soon}}, 1},
		"all late, the shorter one":  {[]transfer{{size: 5, due: late}, {size: 4, due: late}}, 1},
		"too long to be in time now": {[]transfer{{size: 8e6, due: now + second}, {size: 9, due: soon}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLink(8)
			for _, each := range c.waiting {
				l.waiting = append(l.waiting, &each)
			}
			is.Equal(l.first(now), c.first)
		})
	}
}

func TestAnswerWhoseCallerLeavesGivesUpItsTurn(t *testing.T) {
	is := is.New(t)
	l := newLink(0.1)
	l.await(bytesEach, clock.Now(), nil) // takes the link for seconds
	left := make(chan struct{})
	close(left)
	l.await(bytesEach, clock.Now(), left)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	is.Equal(len(l.waiting), 0)
	is.Equal(l.queued, 0.0)
}
