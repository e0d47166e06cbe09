package ingress

import (
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/clock"
)

// Guards against responses that are admitted before a stop and not sent by then: what does not wait for the link may
// take half of it.
func TestAdmittedResponsesAreSentBeforeTheStop(t *testing.T) {
	const size, target, left = 100_000, 30 * time.Second, 60 * time.Second
	for name, c := range map[string]struct {
		// untilStop is the time until the process stops when the requests arrive.
		untilStop time.Duration
		// refused is the size in bytes of the rejections that are sent between two turns.
		refused int
	}{
		"nothing else is sent":                     {10 * time.Second, 0},
		"rejections take half of the link":         {10 * time.Second, size},
		"rejections would take more than the link": {10 * time.Second, 10 * size},
		"rejections take half of it, soon":         {2 * time.Second, size},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := startIngress(t, startInstance(t, okResponse, false))
			l := newLink(8)
			i.link = l
			l.recordSize("r", size)
			stop := clock.Now() + c.untilStop
			l.setStop(stop)
			admitted := 0
			for i.reserveLink(&proxyRequest{route: "r", target: target, deadline: clock.Now() + left}) == 0 {
				admitted++
			}
			is.True(admitted > 1)
			granted := make(chan *transfer)
			for range admitted {
				l.cancelReservation(size)
				go func() {
					response := &transfer{size: size, due: clock.Now() + target}
					l.awaitTurn(response, nil)
					granted <- response
				}()
			}
			last := <-granted
			awaitQueued(l, admitted-1)
			for range admitted - 1 {
				l.recordSent(c.refused, clock.Now())
				l.mutex.Lock()
				untilFree := l.freeAt - clock.Now()
				l.mutex.Unlock()
				clock.SimulateSuspension(untilFree)
				last = <-granted
			}
			is.True(last.startsAt+l.transferTime(size) <= stop)
		})
	}
}

// awaitQueued waits until a number of responses wait for the link.
func awaitQueued(l *link, count int) {
	for {
		l.mutex.Lock()
		waiting := len(l.waiting)
		l.mutex.Unlock()
		if waiting == count {
			return
		}
		runtime.Gosched()
	}
}

// Guards against turns that are later the more of them there are: on a busy machine the timer of each expires late.
func TestLateTimersDoNotDelayTheLink(t *testing.T) {
	const size, responses = 100_000, 10
	for name, c := range map[string]struct {
		// late is by how much each timer expires too late.
		late time.Duration
		// madeUp is whether that delays no turn behind it.
		madeUp bool
	}{
		"in time":                   {0, true},
		"late":                      {maxCatchUp / 2, true},
		"later than is made up for": {3 * maxCatchUp, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLink(8)
			granted := make(chan *transfer)
			for range responses {
				go func() {
					response := &transfer{size: size, due: clock.Now() + time.Hour}
					l.awaitTurn(response, nil)
					granted <- response
				}()
			}
			first := <-granted
			awaitQueued(l, responses-1)
			last := first
			for range responses - 1 {
				l.mutex.Lock()
				due := l.freeAt
				l.mutex.Unlock()
				clock.SimulateSuspension(due - clock.Now() + c.late)
				last = <-granted
				is.True(last.startsAt >= due+c.late-maxCatchUp)
			}
			delay := last.startsAt - first.startsAt - (responses-1)*l.transferTime(size)
			is.Equal(delay <= responses*turnTolerance, c.madeUp)
		})
	}
}
