package control

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A router's lag is how long ago it had everything that the member had, by its own words.
func TestLagOfARouterCountsFromWhenItHadEverything(t *testing.T) {
	type word struct{ at, revision, newest int }
	for name, c := range map[string]struct {
		words []word
		lag   int
	}{
		"has the newest":                  {[]word{{1, 5, 5}, {4, 7, 7}}, 6},
		"has what was newest before":      {[]word{{1, 5, 5}, {2, 5, 9}, {3, 9, 12}}, 8},
		"has not moved while others came": {[]word{{1, 5, 5}, {2, 5, 9}, {3, 5, 12}, {4, 5, 14}}, 9},
		"says its first word behind":      {[]word{{3, 2, 9}}, 7},
		"is silent":                       {[]word{{1, 5, 5}}, 9},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			entry := &routerEntry{}
			for _, said := range c.words {
				entry.heardAt(time.Duration(said.at)*time.Second, uint64(said.revision), uint64(said.newest))
			}
			is.Equal(10*time.Second-entry.current, time.Duration(c.lag)*time.Second)
		})
	}
}
