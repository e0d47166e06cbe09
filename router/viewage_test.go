package router

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An operator is told once that a view is old, and once that it is current again.
func TestOldViewIsToldOnce(t *testing.T) {
	type look struct {
		age  time.Duration
		want viewNews
	}
	for name, looks := range map[string][]look{
		"never old":         {{0, viewUnchanged}, {unmatchedBound, viewUnchanged}},
		"old, then not":     {{2 * time.Second, viewGrewOld}, {3 * time.Second, viewUnchanged}, {0, viewIsCurrent}, {0, viewUnchanged}},
		"old a second time": {{2 * time.Second, viewGrewOld}, {0, viewIsCurrent}, {2 * time.Second, viewGrewOld}},
		"never confirmed":   {{time.Hour, viewGrewOld}, {time.Hour, viewUnchanged}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var watch viewWatch
			now := time.Minute
			for _, next := range looks {
				now += viewLookEvery
				is.Equal(watch.look(now, next.age, 7), next.want)
			}
		})
	}
}
