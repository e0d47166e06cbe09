package router

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/clock"
	"limehold/routing"
	"limehold/wire"
)

// A router that stops sends to ingresses the time by which it needs their responses; a router
// that is not stopping sends none.
func TestStoppingRouterTellsItsEnd(t *testing.T) {
	for name, c := range map[string]struct {
		left        time.Duration
		least, most int
	}{
		"no stop is under way": {0, 0, 0},
		"it stops in a minute": {time.Minute, 50_000, 60_000},
		"its time is over":     {-time.Second, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent := make(chan string, 1)
			router, _ := startRouter(t, routing.KindSafe, 1, func(header http.Header) cannedResponse {
				sent <- header.Get(wire.HeaderStopsIn)
				return okResponse
			})
			if c.left != 0 {
				router.responsesDue.Store(int64(clock.Now() + c.left))
			}
			status, _ := askRouter(t, router)
			is.Equal(status, http.StatusOK)
			left, err := strconv.Atoi(<-sent)
			is.Equal(err != nil, c.left == 0)
			is.True(left >= c.least && left <= c.most)
		})
	}
}
