package control

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A router's lag counts from the time at which the router last had the member's
// newest revision, as far as its reports show.
func TestLagOfARouterCountsFromWhenItHadEverything(t *testing.T) {
	type report struct{ at, revision, newest int }
	for name, c := range map[string]struct {
		reports []report
		lag     int
	}{
		"has the newest":                  {[]report{{1, 5, 5}, {4, 7, 7}}, 6},
		"has what was newest before":      {[]report{{1, 5, 5}, {2, 5, 9}, {3, 9, 12}}, 8},
		"has not moved while others came": {[]report{{1, 5, 5}, {2, 5, 9}, {3, 5, 12}, {4, 5, 14}}, 9},
		"says its first word behind":      {[]report{{3, 2, 9}}, 7},
		"is silent":                       {[]report{{1, 5, 5}}, 9},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			entry := &routerEntry{}
			for _, report := range c.reports {
				entry.recordRevision(time.Duration(report.at)*time.Second, uint64(report.revision), uint64(report.newest))
			}
			is.Equal(10*time.Second-entry.currentAt, time.Duration(c.lag)*time.Second)
		})
	}
}
