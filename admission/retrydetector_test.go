package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestReturnsAreToldFromNewRequests(t *testing.T) {
	const learning = 4000
	cases := map[string]struct {
		// allowed returns the time that the caller allows for the request with a number.
		allowed func(number int) time.Duration
		// retry reports whether that request is a retry.
		retry func(number int) bool
	}{
		"two thirds of the requests return": {
			allowed: func(number int) time.Duration {
				return []time.Duration{2 * time.Second, 1250 * time.Millisecond, 680 * time.Millisecond}[number%3]
			},
			retry: func(number int) bool { return number%3 != 0 },
		},
		"a few callers wait much longer": {
			allowed: func(number int) time.Duration {
				if number%20 == 0 {
					return 30 * time.Second
				}
				return 2 * time.Second
			},
			retry: func(int) bool { return false },
		},
		"callers take to waiting less": {
			allowed: func(number int) time.Duration {
				if number < 100 {
					return 10 * time.Second
				}
				return time.Second
			},
			retry: func(int) bool { return false },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var returns RetryDetector
			for number := range 2 * learning {
				detected := returns.Observe(c.allowed(number))
				if number >= learning {
					is.Equal(detected, c.retry(number))
				}
			}
		})
	}
}
