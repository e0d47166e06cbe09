package control

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// While no read can be confirmed, each step that fails has one line a second, which says how many others
// there were.
func TestRefusalsAreToldOnceASecond(t *testing.T) {
	is := is.New(t)
	var told refusals
	_, tell := told.take("a", time.Second)
	is.True(tell)
	for range 3 {
		_, tell = told.take("a", 1500*time.Millisecond)
		is.True(!tell)
	}
	others, tell := told.take("b", 1600*time.Millisecond)
	is.True(tell && others == 0) // another step is not left out for the first one
	others, tell = told.take("a", 2*time.Second)
	is.True(tell)
	is.Equal(others, 3)
}
