package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestShareOfRunsThatEndWell(t *testing.T) {
	for name, c := range map[string]struct {
		// runs are 10 ms apart and succeed unless fails reports otherwise.
		runs  int
		fails func(number int) bool
		// idle is the time after the last run.
		idle        time.Duration
		least, most float64
	}{
		"none":                   {0, nil, 0, 1, 1},
		"all end well":           {100, func(int) bool { return false }, 0, 1, 1},
		"all fail":               {60, func(int) bool { return true }, 0, 0, 0.05},
		"all fail, a while ago":  {60, func(int) bool { return true }, 8 * second, 0.8, 0.9},
		"one in ten fails":       {1000, func(n int) bool { return n%10 == 0 }, 0, 0.8, 0.95},
		"one fails, then 50 not": {51, func(n int) bool { return n == 0 }, 0, 0.99, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s success
			now := time.Duration(0)
			for number := range c.runs {
				now += 10 * time.Millisecond
				s.record(!c.fails(number), now)
			}
			share := s.share(now + c.idle)
			is.True(share >= c.least && share <= c.most)
		})
	}
}

func TestPaceIsReadFromTheInstancesLoad(t *testing.T) {
	for name, c := range map[string]struct {
		words []string
		speed float64
	}{
		"never told":           {nil, 1},
		"told without a pace":  {[]string{"3,0,18"}, 1},
		"as usual":             {[]string{"3,0,18,100"}, 1},
		"twice as long":        {[]string{"3,0,18,200", "3,0,18,200"}, 0.5},
		"in half the time":     {[]string{"3,0,18,50"}, 2},
		"no figure":            {[]string{"3,0,18,x"}, 1},
		"zero is not believed": {[]string{"3,0,18,0"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var p slowdown
			for number, word := range c.words {
				p.observe([]byte(word), time.Duration(number)*second)
			}
			is.Equal(p.speed(), c.speed)
		})
	}
	is := is.New(t)
	var p slowdown
	for at := time.Duration(0); at < 20*second; at += second / 10 {
		word := "0,0,18,100"
		if at%(400*time.Millisecond) == 0 {
			word = "0,0,18,300"
		}
		p.observe([]byte(word), at)
	}
	is.True(p.speed() > 0.6 && p.speed() < 0.72) // the mean of the varying values
}
