package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/loadview"
	"limehold/pace"
	"limehold/wire"
)

// TestEarlyRenewals answers the load of an instance that begins to run requests, or whose pace turns: control divides
// keys by the pace and has to know it before the next renewal, but not at the price of many renewals.
func TestEarlyRenewals(t *testing.T) {
	const usual = 100 * time.Millisecond
	for name, test := range map[string]struct {
		// reports is set if each requested renewal is sent.
		reports bool
		// ran returns how long the run at a time takes.
		ran      func(at time.Duration) time.Duration
		atLeast  int
		mostly   int
		duration time.Duration
	}{
		"first runs":         {true, func(time.Duration) time.Duration { return usual }, 1, 1, 200 * time.Millisecond},
		"steady":             {true, func(time.Duration) time.Duration { return 2 * usual }, 1, 3, 10 * time.Second},
		"turns slow":         {true, func(at time.Duration) time.Duration { return usual * (1 + 3*min(1, at/(5*time.Second))) }, 2, 5, 8 * time.Second},
		"control is silent":  {false, func(time.Duration) time.Duration { return usual }, 2, 25, 10 * time.Second},
		"no pace to be told": {true, func(time.Duration) time.Duration { return 0 }, 0, 0, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			meter := newLoadMeter()
			requests := 0
			for at := time.Millisecond; at < test.duration; at += 10 * time.Millisecond {
				meter.recordRun(usual, test.ran(at), at, true)
				select {
				case <-meter.renewRequests:
					requests++
					if test.reports {
						meter.report(&loadview.Report{}, at)
					}
				default:
				}
			}
			is.True(requests >= test.atLeast)
			is.True(requests <= test.mostly)
		})
	}
}

func TestReportsOfAMeter(t *testing.T) {
	is := is.New(t)
	meter := newLoadMeter()
	var first, second, third loadview.Report
	meter.report(&first, time.Second)
	is.Equal(first.Pace, 0.0)
	for i := range pace.MinRuns {
		meter.recordRun(time.Second, 2*time.Second, time.Duration(i+1)*time.Millisecond, true)
	}
	meter.recordRefusal(time.Second)
	meter.report(&second, time.Second)
	is.Equal(second.Process, first.Process)
	is.True(second.Version > first.Version)
	is.True(second.Pace > 0 && second.Pace < 1)
	is.True(second.Refused > 0)
	meter.reset()
	meter.report(&third, time.Minute)
	is.Equal(third.Pace, 0.0)
	is.True(third.Refused < 0.01)
}

// TestRunsFeedThePace shows which runs of an instance count for its pace, and that the instance cannot write their time
// itself.
func TestRunsFeedThePace(t *testing.T) {
	answer := func(status, fields string) func(string) string {
		return func(id string) string {
			return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\nX-Request-Id: " + id + "\r\n" + fields + "\r\n"
		}
	}
	for name, test := range map[string]struct {
		answer func(string) string
		usual  string
		told   bool
		known  bool
	}{
		"answered":          {answer("200 OK", ""), "100000", true, true},
		"no usual time yet": {answer("200 OK", ""), "", true, false},
		"failed":            {answer("500 Internal Server Error", wire.HeaderRun+": 7\r\n"), "100000", false, false},
		"not run":           {answer("503 Service Unavailable", "X-Not-Run: 1\r\n"), "100000", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := startIngress(t, startInstance(t, test.answer, false))
			for range pace.MinRuns {
				response := ask(t, i, func(header http.Header) {
					if test.usual != "" {
						header.Set(wire.HeaderUsualRun, test.usual)
					}
				})
				is.Equal(response.Header.Get(wire.HeaderRun) != "", test.told)
			}
			is.Equal(i.Instance().LoadReport().Pace > 0, test.known)
		})
	}
}
