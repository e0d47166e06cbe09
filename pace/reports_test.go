package pace

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/loadview"
)

func report(process uint32, version uint64, pace float64) loadview.Report {
	return loadview.Report{Process: process, Version: version, Slots: 8, Pace: pace}
}

// TestReports answers reports that arrive late, are absurd, or become old because a machine is cut off.
func TestReports(t *testing.T) {
	const session, now = 7, 10 * time.Second
	for name, test := range map[string]struct {
		reports []loadview.Report
		age     time.Duration
		want    float64
	}{
		"none":                             {nil, 0, 0},
		"not set":                          {[]loadview.Report{{Pace: 2}}, 0, 0},
		"newest":                           {[]loadview.Report{report(1, 1, 2), report(1, 2, 0.5)}, 0, 0.5},
		"late report of the same process":  {[]loadview.Report{report(1, 2, 0.5), report(1, 1, 2)}, 0, 0.5},
		"restarted process":                {[]loadview.Report{report(1, 9, 0.5), report(2, 1, 2)}, 0, 2},
		"unknown pace":                     {[]loadview.Report{report(1, 1, 0)}, 0, 0},
		"negative":                         {[]loadview.Report{report(1, 1, -3)}, 0, 0},
		"not a number":                     {[]loadview.Report{report(1, 1, math.NaN())}, 0, 0},
		"infinite":                         {[]loadview.Report{report(1, 1, math.Inf(1))}, 0, 0},
		"far too fast":                     {[]loadview.Report{report(1, 1, 1e9)}, 0, MaxPace},
		"far too slow":                     {[]loadview.Report{report(1, 1, 1e-9)}, 0, MinPace},
		"two lost renewals change nothing": {[]loadview.Report{report(1, 1, 0.5)}, 3 * time.Second, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var reports Reports
			for _, item := range test.reports {
				reports.Record(session, item, now)
			}
			is.Equal(reports.Pace(session, now+test.age), test.want)
			reports.Forget(session)
			is.Equal(reports.Pace(session, now), 0.0)
		})
	}
}

func TestOldReportLosesItsWeight(t *testing.T) {
	is := is.New(t)
	var reports Reports
	reports.Record(1, report(1, 1, 0.5), 0)
	before := 0.5
	for age := 4 * time.Second; age < time.Minute; age += 5 * time.Second {
		now := reports.Pace(1, age)
		is.True(now > before && now < 1)
		before = now
	}
	is.True(before > 0.95)
}
