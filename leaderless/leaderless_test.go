package leaderless

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/consensus"
)

func TestWatchTellsOnceASecondAndWhenItIsOver(t *testing.T) {
	with, without := State{HasLeader: true}, State{}
	type observation struct {
		at    time.Duration
		state State
		event string
	}
	const ms = time.Millisecond
	for name, observations := range map[string][]observation{
		"an election":         {{100 * ms, with, ""}, {300 * ms, without, ""}, {900 * ms, without, ""}, {1000 * ms, with, ""}},
		"none from the start": {{100 * ms, without, ""}, {1000 * ms, without, ""}, {1100 * ms, without, "without_leader"}},
		"lasts": {
			{100 * ms, with, ""}, {1100 * ms, without, "without_leader"}, {1300 * ms, without, ""}, {2000 * ms, without, ""},
			{2100 * ms, without, "without_leader"}, {2200 * ms, with, "leader_found"}, {2300 * ms, with, ""},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var watch Watch
			for _, observed := range observations {
				event, _ := watch.Observe(observed.at, observed.state)
				is.Equal(event, observed.event)
			}
		})
	}
}

func TestVotersAreToldWithTheirAnswersAndConnections(t *testing.T) {
	is := is.New(t)
	is.Equal(formatVoters([]Voter{
		{Name: "control-1", Answer: consensus.AnswerLogShorter, To: Connection{Up: true, Silence: 30 * time.Millisecond}},
		{Name: "control-2", From: Connection{Up: true, Silence: 5 * time.Second}},
	}), "control-1 log-shorter to 30ms from down, control-2 none to down from 5s")
}
