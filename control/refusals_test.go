package control

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Each failing step is logged at most once a second, with the number of suppressed failures.
func TestRefusalsAreToldOnceASecond(t *testing.T) {
	is := is.New(t)
	var failures failureLimiter
	_, logged := failures.record("a", time.Second)
	is.True(logged)
	for range 3 {
		_, logged = failures.record("a", 1500*time.Millisecond)
		is.True(!logged)
	}
	suppressed, logged := failures.record("b", 1600*time.Millisecond)
	is.True(logged && suppressed == 0) // steps are limited independently
	suppressed, logged = failures.record("a", 2*time.Second)
	is.True(logged)
	is.Equal(suppressed, 3)
}
