package control

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/catalog"
	"limehold/loadview"
	"limehold/membership"
	"limehold/placement"
)

// TestReportsOfATerm shows that a member which leads again knows nothing of an earlier term: the sessions may have ended.
func TestReportsOfATerm(t *testing.T) {
	is := is.New(t)
	s := newSessions()
	s.beginTerm(1, membership.LeaseTiming{Length: time.Second}, nil, 1, 0)
	s.reports.Record(3, loadview.Report{Slots: 8, Pace: 0.5}, time.Second)
	is.Equal(s.pace(3, time.Second), 0.5)
	s.endTerm()
	s.beginTerm(2, membership.LeaseTiming{Length: time.Second}, nil, 1, 2*time.Second)
	is.Equal(s.pace(3, 2*time.Second), 0.0)
}

// TestNewLeaderLeavesTheDivision shows that a leader which knows no load and no pace yet does not undo what its predecessor
// divided by them, and that the first leader divides at once.
func TestNewLeaderLeavesTheDivision(t *testing.T) {
	const now, renewEvery = time.Minute, time.Second
	for name, test := range map[string]struct {
		byDemand, hasOwners bool
		want                time.Duration
	}{
		"first leader":   {true, false, now},
		"later leader":   {true, true, now + settleRenewals*renewEvery},
		"off by default": {false, true, now},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(balanceStart(now, renewEvery, test.byDemand, test.hasOwners), test.want)
			builder := &inputBuilder{member: &Member{}, leader: &leaderState{balanceFrom: test.want, budgets: map[string]*placement.Budget{}}, now: now, inputs: map[string]*placement.Input{}}
			is.Equal(builder.input(&catalog.Service{Name: "a"}).NoRebalance, test.want > now)
		})
	}
}

// TestWarmthAndPace shows that a slow instance which also says that it is slow counts as slow once.
func TestWarmthAndPace(t *testing.T) {
	const session, warmUp = 3, time.Second
	for name, test := range map[string]struct {
		capacity, speed, pace float64
		paceCounts            bool
		want                  float64
	}{
		"nothing reported":              {0, 0, 0, true, 1},
		"slow by its own word":          {0.5, 0.5, 0, false, 0.5},
		"slow by its word and measured": {0.5, 0.5, 0.5, true, 1},
		"cold and slow":                 {0.2, 0.5, 0.5, true, 0.4},
		"not a number":                  {math.NaN(), math.NaN(), 1, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSessions()
			s.openedAt[session] = 0
			s.capacity[session], s.speed[session] = test.capacity, test.speed
			s.reports.Record(session, loadview.Report{Slots: 8, Pace: test.pace}, time.Minute)
			is.Equal(s.pace(session, time.Minute), test.pace)
			is.Equal(s.warmth(session, time.Minute, warmUp, test.paceCounts), test.want)
		})
	}
}
